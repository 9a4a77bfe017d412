package io.rhubarbward.request.quarantine;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Refuses a request that crashes engines (a "query of death") after two crashes.
 *
 * <pre>{@code
 * if (quarantine.admit(fingerprint) == Quarantine.Decision.FREE) {
 *     send();
 * }
 * }</pre>
 *
 * <p>A request that was in flight when the connection to its engine was lost is suspect. It may run
 * again at one router at a time, which is its trial. A complete answer clears it, and a second
 * crash quarantines it. Peers are notified of the first crash already, so that it counts too when
 * the caller retries at another router. All calls are made on the timer service's thread.
 */
public final class Quarantine implements StateSource {
    /** How long a request stays suspect or quarantined after its last crash. */
    static final Duration SUSPICION_TTL = Duration.ofMinutes(10);

    /** Allows another trial if the router that ran the last one has died. */
    static final Duration TRIAL_TIMEOUT = Duration.ofMinutes(5);

    /** Batches the notices of all requests that one crash made suspect. */
    private static final Duration NOTICE_DELAY = Duration.ofMillis(1);

    private static final int MAX_SUSPECTS = 4096;

    private final String mVm;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Consumer<SuspectNotices> mBroadcast;
    private final Map<String, SuspectRequest> mSuspects = new LinkedHashMap<>();
    private final Set<String> mFingerprintsToAnnounce = new LinkedHashSet<>();

    /**
     * Creates a quarantine without suspects.
     *
     * @param vm the name of this router's VM
     * @param broadcast sends notices to every other router
     */
    public Quarantine(
            String vm, TimerService timers, EventLog events, Consumer<SuspectNotices> broadcast) {
        mVm = vm;
        mTimers = timers;
        mEvents = events;
        mBroadcast = broadcast;
    }

    /** Whether a request may be sent. */
    public enum Decision {
        /** It may be sent: it is not suspect. */
        FREE,
        /**
         * It is suspect; this router may send it once, as a trial that its peers are notified of.
         */
        TRIAL,
        /** It may not be sent: it is suspect, and another copy of it is on trial. */
        ON_TRIAL,
        /** It may not be sent: two engines crashed during it. */
        QUARANTINED
    }

    /** Returns whether no request is suspect, so that no fingerprint is needed. */
    public boolean empty() {
        return mSuspects.isEmpty();
    }

    /** Decides whether the request may be sent, and begins its trial if it is suspect. */
    public Decision admit(String fingerprint) {
        SuspectRequest suspect = findUnexpired(fingerprint);
        if (suspect == null) {
            return Decision.FREE;
        }
        if (suspect.quarantined()) {
            return Decision.QUARANTINED;
        }
        if (suspect.onTrial(now())) {
            return Decision.ON_TRIAL;
        }
        beginTrial(fingerprint, suspect);
        return Decision.TRIAL;
    }

    /** Returns how long the request stays suspect or quarantined. */
    public Duration remainingTime(String fingerprint) {
        SuspectRequest suspect = findUnexpired(fingerprint);
        return Duration.ofMillis(suspect == null ? 0 : suspect.remainingMillis(now()));
    }

    /**
     * Records that the connection to an engine was lost during the request.
     *
     * @param wantsTrial whether the caller of this method would send the request again at once
     * @return whether it may do so, as a trial
     */
    public boolean recordCrash(String fingerprint, Crash crash, boolean wantsTrial) {
        if (findUnexpired(fingerprint) == null && mSuspects.size() >= MAX_SUSPECTS) {
            mSuspects.remove(mSuspects.keySet().iterator().next());
        }
        SuspectRequest suspect =
                mSuspects.computeIfAbsent(fingerprint, key -> new SuspectRequest());
        boolean onTrialElsewhere = suspect.onTrial(now()) && !suspect.onTrialAt(mVm, now());
        suspect.endTrial(mVm);
        addCrash(fingerprint, suspect, crash);
        boolean mayRunTrial = wantsTrial && !suspect.quarantined() && !onTrialElsewhere;
        if (mayRunTrial) {
            beginTrial(fingerprint, suspect);
        }
        announce(fingerprint);
        return mayRunTrial;
    }

    /** Ends this router's trial, if it runs one; a complete answer clears the request. */
    public void endTrial(String fingerprint, boolean answered) {
        SuspectRequest suspect = findUnexpired(fingerprint);
        if (suspect == null || !suspect.onTrialAt(mVm, now())) {
            return;
        }
        if (answered) {
            mSuspects.remove(fingerprint);
        } else {
            suspect.endTrial(mVm);
        }
        announce(fingerprint);
    }

    /** Applies a peer's notices. */
    public void onNotices(String vm, SuspectNotices notices) {
        notices.notices().forEach(notice -> onNotice(vm, notice));
    }

    private void onNotice(String vm, SuspectNotice notice) {
        String fingerprint = notice.fingerprint();
        if (notice.cleared()) {
            SuspectRequest known = findUnexpired(fingerprint);
            if (known != null && !known.quarantined()) {
                mSuspects.remove(fingerprint);
            }
            return;
        }
        SuspectRequest suspect =
                mSuspects.computeIfAbsent(fingerprint, key -> new SuspectRequest());
        notice.crashes().forEach(crash -> addCrash(fingerprint, suspect, crash));
        if (notice.onTrialAtSender() && !suspect.onTrial(now())) {
            suspect.beginTrial(vm, now() + TRIAL_TIMEOUT.toMillis());
        } else if (!notice.onTrialAtSender()) {
            suspect.endTrial(vm);
        }
    }

    /** Announces all suspects to every peer, for routers that have just joined. */
    public void announceAll() {
        mSuspects.keySet().forEach(this::announce);
    }

    private void addCrash(String fingerprint, SuspectRequest suspect, Crash crash) {
        boolean wasQuarantined = suspect.quarantined();
        suspect.addCrash(crash, now() + SUSPICION_TTL.toMillis());
        if (!wasQuarantined && suspect.quarantined()) {
            mEvents.log(
                    LogEvent.REQUEST_QUARANTINED,
                    EventField.of("fingerprint", fingerprint),
                    EventField.of(
                            "engines", suspect.crashes().stream().map(Crash::engine).toList()));
        }
    }

    private void beginTrial(String fingerprint, SuspectRequest suspect) {
        suspect.beginTrial(mVm, now() + TRIAL_TIMEOUT.toMillis());
        announce(fingerprint);
    }

    private void announce(String fingerprint) {
        if (mFingerprintsToAnnounce.isEmpty()) {
            mTimers.after(NOTICE_DELAY, this::sendNotices);
        }
        mFingerprintsToAnnounce.add(fingerprint);
    }

    private void sendNotices() {
        SuspectNotices notices =
                new SuspectNotices(mFingerprintsToAnnounce.stream().map(this::newNotice).toList());
        mFingerprintsToAnnounce.clear();
        mBroadcast.accept(notices);
    }

    private SuspectNotice newNotice(String fingerprint) {
        SuspectRequest suspect = findUnexpired(fingerprint);
        return suspect == null
                ? new SuspectNotice(fingerprint, List.of(), false)
                : new SuspectNotice(fingerprint, suspect.crashes(), suspect.onTrialAt(mVm, now()));
    }

    /** Returns the suspect, or null; removes it if it has expired. */
    private @Nullable SuspectRequest findUnexpired(String fingerprint) {
        SuspectRequest suspect = mSuspects.get(fingerprint);
        if (suspect != null && suspect.expired(now())) {
            mSuspects.remove(fingerprint);
            return null;
        }
        return suspect;
    }

    private long now() {
        return mTimers.nowMillis();
    }

    @Override
    public String name() {
        return "quarantine";
    }

    @Override
    public Object state() {
        long quarantined = mSuspects.values().stream().filter(SuspectRequest::quarantined).count();
        return Map.of("suspects", mSuspects.size(), "quarantined", quarantined);
    }
}
