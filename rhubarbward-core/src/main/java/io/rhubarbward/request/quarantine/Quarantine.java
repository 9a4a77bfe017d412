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
 * Keeps a request that crashes engines from crashing more than two.
 *
 * <pre>{@code
 * if (quarantine.admit(fingerprint) == Admittance.FREE) {
 *     send();
 * }
 * }</pre>
 *
 * <p>A request that was in flight when its engine's connection was lost is suspect. It may run once
 * more, at one router at a time: its trial. A whole answer clears it; a second crash quarantines
 * it. Peers are told at the first crash already, so that the caller cannot begin anew elsewhere.
 * All calls are made on the timer service's thread.
 */
public final class Quarantine implements StateSource {
    /** How long a crash counts. */
    static final Duration MEMORY = Duration.ofMinutes(10);

    /** How long a trial may take; its router may have died since. */
    static final Duration TRIAL_LIMIT = Duration.ofMinutes(5);

    /** Notices of requests that one crash made suspect go together. */
    private static final Duration NOTICE_DELAY = Duration.ofMillis(1);

    private static final int MAX_SUSPECTS = 4096;

    private final String mVm;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Consumer<SuspectNotices> mPeers;
    private final Map<String, Suspect> mSuspects = new LinkedHashMap<>();
    private final Set<String> mUntold = new LinkedHashSet<>();

    /**
     * Knows of no suspects at first.
     *
     * @param vm the name of the router's own VM
     * @param peers sends notices to every other router
     */
    public Quarantine(
            String vm, TimerService timers, EventLog events, Consumer<SuspectNotices> peers) {
        mVm = vm;
        mTimers = timers;
        mEvents = events;
        mPeers = peers;
    }

    /** What may be done with a request. */
    public enum Admittance {
        /** It is no suspect. */
        FREE,
        /** It is suspect; this router may run it, once, and has told its peers. */
        TRIAL,
        /** It is suspect and another copy of it is running. */
        ON_TRIAL,
        /** It was in two crashes. */
        QUARANTINED
    }

    /** Returns whether no request is suspect, so that none needs to be looked up. */
    public boolean empty() {
        return mSuspects.isEmpty();
    }

    /** Returns whether the request may be sent. */
    public Admittance admit(String fingerprint) {
        Suspect suspect = live(fingerprint);
        if (suspect == null) {
            return Admittance.FREE;
        }
        if (suspect.quarantined()) {
            return Admittance.QUARANTINED;
        }
        if (suspect.onTrial(now())) {
            return Admittance.ON_TRIAL;
        }
        beginTrial(fingerprint, suspect);
        return Admittance.TRIAL;
    }

    /** Returns how long the request stays suspect. */
    public Duration remaining(String fingerprint) {
        Suspect suspect = live(fingerprint);
        return Duration.ofMillis(suspect == null ? 0 : suspect.remainingMillis(now()));
    }

    /**
     * Notes that an engine's connection was lost under the request.
     *
     * @param wantsTrial whether the request would be sent again at once
     * @return whether it may be
     */
    public boolean crashed(String fingerprint, Crash crash, boolean wantsTrial) {
        if (live(fingerprint) == null && mSuspects.size() >= MAX_SUSPECTS) {
            mSuspects.remove(mSuspects.keySet().iterator().next());
        }
        Suspect suspect = mSuspects.computeIfAbsent(fingerprint, key -> new Suspect());
        boolean trialElsewhere = suspect.onTrial(now()) && !suspect.onTrialAt(mVm, now());
        suspect.endTrial(mVm);
        add(fingerprint, suspect, crash);
        boolean mayTry = wantsTrial && !suspect.quarantined() && !trialElsewhere;
        if (mayTry) {
            beginTrial(fingerprint, suspect);
        }
        tell(fingerprint);
        return mayTry;
    }

    /** Notes that this router's trial ended; a whole answer clears the request. */
    public void trialEnded(String fingerprint, boolean answered) {
        Suspect suspect = live(fingerprint);
        if (suspect == null || !suspect.onTrialAt(mVm, now())) {
            return;
        }
        if (answered) {
            mSuspects.remove(fingerprint);
        } else {
            suspect.endTrial(mVm);
        }
        tell(fingerprint);
    }

    /** Takes what a peer says. */
    public void onNotices(String vm, SuspectNotices notices) {
        notices.notices().forEach(notice -> onNotice(vm, notice));
    }

    private void onNotice(String vm, SuspectNotice notice) {
        String fingerprint = notice.fingerprint();
        if (notice.cleared()) {
            Suspect known = live(fingerprint);
            if (known != null && !known.quarantined()) {
                mSuspects.remove(fingerprint);
            }
            return;
        }
        Suspect suspect = mSuspects.computeIfAbsent(fingerprint, key -> new Suspect());
        notice.crashes().forEach(crash -> add(fingerprint, suspect, crash));
        if (notice.trial() && !suspect.onTrial(now())) {
            suspect.beginTrial(vm, now() + TRIAL_LIMIT.toMillis());
        } else if (!notice.trial()) {
            suspect.endTrial(vm);
        }
    }

    /** Tells every peer of all suspects; for when a router has joined. */
    public void tellAll() {
        mSuspects.keySet().forEach(this::tell);
    }

    private void add(String fingerprint, Suspect suspect, Crash crash) {
        boolean before = suspect.quarantined();
        suspect.add(crash, now() + MEMORY.toMillis());
        if (!before && suspect.quarantined()) {
            mEvents.log(
                    LogEvent.REQUEST_QUARANTINED,
                    EventField.of("fingerprint", fingerprint),
                    EventField.of(
                            "engines", suspect.crashes().stream().map(Crash::engine).toList()));
        }
    }

    private void beginTrial(String fingerprint, Suspect suspect) {
        suspect.beginTrial(mVm, now() + TRIAL_LIMIT.toMillis());
        tell(fingerprint);
    }

    private void tell(String fingerprint) {
        if (mUntold.isEmpty()) {
            mTimers.after(NOTICE_DELAY, this::flush);
        }
        mUntold.add(fingerprint);
    }

    private void flush() {
        SuspectNotices notices = new SuspectNotices(mUntold.stream().map(this::notice).toList());
        mUntold.clear();
        mPeers.accept(notices);
    }

    private SuspectNotice notice(String fingerprint) {
        Suspect suspect = live(fingerprint);
        return suspect == null
                ? new SuspectNotice(fingerprint, List.of(), false)
                : new SuspectNotice(fingerprint, suspect.crashes(), suspect.onTrialAt(mVm, now()));
    }

    private @Nullable Suspect live(String fingerprint) {
        Suspect suspect = mSuspects.get(fingerprint);
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
        long quarantined = mSuspects.values().stream().filter(Suspect::quarantined).count();
        return Map.of("suspects", mSuspects.size(), "quarantined", quarantined);
    }
}
