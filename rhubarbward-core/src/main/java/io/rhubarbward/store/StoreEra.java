package io.rhubarbward.store;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the newest era of the store's history that this process knows of, from the store's answers
 * and from peers.
 */
public final class StoreEra {
    private static final long UNKNOWN = -1;

    private final TimerService mTimers;
    private final EventLog mEvents;
    private final List<Runnable> mSubscribers = new ArrayList<>();
    private long mCurrent = UNKNOWN;

    StoreEra(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
    }

    /** Runs the subscriber soon after a newer era becomes known, but for the first one. */
    void subscribe(Runnable subscriber) {
        mSubscribers.add(subscriber);
    }

    /**
     * Notes the era that an answer of the store, or a peer, states.
     *
     * @param source what stated it, for the log
     */
    public void observe(long era, String source) {
        if (era <= mCurrent) {
            return;
        }
        long before = mCurrent;
        mCurrent = era;
        if (before != UNKNOWN) {
            mEvents.log(
                    LogEvent.STORE_RESTORED,
                    EventField.of("before", before),
                    EventField.of("now", era),
                    EventField.of("source", source));
            mSubscribers.forEach(mTimers::execute);
        }
    }

    /** Returns whether the revision belongs to an era before the newest one. */
    public boolean isPast(StoreRevision revision) {
        return revision.era() < mCurrent;
    }
}
