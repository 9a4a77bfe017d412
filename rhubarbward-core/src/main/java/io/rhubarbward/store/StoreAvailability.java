package io.rhubarbward.store;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Tracks from the results of all calls whether this process can reach the store.
 *
 * <p>Logs the start and the end of each outage once.
 */
public final class StoreAvailability {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TimerService mTimers;
    private final EventLog mEvents;
    private final StoreEra mEra;
    private final StoreProgress mProgress = new StoreProgress();
    private final List<Runnable> mRecoverySubscribers = new ArrayList<>();
    private long mOutageStartMillis = NEVER;
    private long mLastOutageEndMillis = NEVER;

    /** Time of the newest failed call; reset by a successful one. */
    private long mFailedMillis = NEVER;

    /** Assumes the store to be available until a call fails. */
    public StoreAvailability(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
        mEra = new StoreEra(timers, events);
    }

    /** Returns the era of the store's history that this process knows of. */
    public StoreEra era() {
        return mEra;
    }

    /** Returns what has open watches checked once the store has changed. */
    StoreProgress progress() {
        return mProgress;
    }

    /** Runs the subscriber at the end of each outage. */
    public void subscribeToRecovery(Runnable subscriber) {
        mRecoverySubscribers.add(subscriber);
    }

    /** Notes a successful call, which ends an outage. */
    public void callSucceeded() {
        mFailedMillis = NEVER;
        if (unavailable()) {
            long now = mTimers.nowMillis();
            mEvents.log(
                    LogEvent.PLATFORM_AVAILABLE,
                    EventField.of("outageMs", now - mOutageStartMillis));
            mOutageStartMillis = NEVER;
            mLastOutageEndMillis = now;
            mRecoverySubscribers.forEach(Runnable::run);
        }
    }

    /** Notes a failed call, which starts an outage unless one has started. */
    public void callFailed(String call, PlatformFailure failure) {
        mFailedMillis = mTimers.nowMillis();
        if (!unavailable()) {
            mOutageStartMillis = mTimers.nowMillis();
            mEvents.log(
                    LogEvent.PLATFORM_UNAVAILABLE,
                    EventField.of("call", call),
                    EventField.of("failure", failure));
        }
    }

    /**
     * Notes that a peer reaches the store, which ends an outage here, since the state is up to date
     * through the peer.
     *
     * @param millisSinceOutage how long ago the peer's last outage ended
     */
    public void reachedThroughPeer(long millisSinceOutage) {
        long now = mTimers.nowMillis();
        if (unavailable()) {
            mEvents.log(
                    LogEvent.PLATFORM_AVAILABLE,
                    EventField.of("outageMs", now - mOutageStartMillis),
                    EventField.of("through", "relay"));
            mOutageStartMillis = NEVER;
        }
        mLastOutageEndMillis = Math.max(mLastOutageEndMillis, now - millisSinceOutage);
    }

    /**
     * Logs that an answer of the store is not applied, since a later state is known.
     *
     * @param known the store's revision that this process knows of
     */
    void logOutdatedAnswer(String call, StoreRevision answered, StoreRevision known) {
        mEvents.log(
                LogEvent.STORE_ANSWER_OUTDATED,
                EventField.of("call", call),
                EventField.of("answered", answered),
                EventField.of("known", known));
    }

    /**
     * Logs that an open watch has not returned what a second call has; its connection may have gone
     * silent.
     *
     * @param openMillis how long the watch was open when the second call was sent
     */
    void logSilentWatch(String kind, StoreRevision since, StoreRevision answered, long openMillis) {
        mEvents.log(
                LogEvent.STORE_WATCH_SILENT,
                EventField.of("kind", kind),
                EventField.of("since", since),
                EventField.of("answered", answered),
                EventField.of("openMs", openMillis));
    }

    /**
     * Logs that a kind's state was listed in a new era of the store.
     *
     * @param before the revision of the state before
     * @param listed how many objects the store has
     * @param kept the names of known objects that it lacks
     * @param stalenessMillis how stale the state before may have been
     */
    void logRestoredKind(
            String kind,
            StoreRevision before,
            StoreRevision now,
            int listed,
            Set<String> kept,
            long stalenessMillis) {
        mEvents.log(
                LogEvent.STORE_KIND_RESTORED,
                EventField.of("kind", kind),
                EventField.of("before", before),
                EventField.of("now", now),
                EventField.of("listed", listed),
                EventField.of("kept", kept),
                EventField.of("ageMs", stalenessMillis));
    }

    /** Returns how long ago this router's newest call failed; a huge number if it succeeded. */
    public long millisSinceFailure() {
        return mTimers.nowMillis() - mFailedMillis;
    }

    /** Returns whether the last call failed and no peer reaches the store. */
    public boolean unavailable() {
        return mOutageStartMillis != NEVER;
    }

    /** Returns the time since the last outage: 0 during one, a huge number if there was none. */
    public long millisSinceOutage() {
        return unavailable() ? 0 : mTimers.nowMillis() - mLastOutageEndMillis;
    }
}
