package io.rhubarbward.store;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;

/** Tracks the newest era of the store's history that this process knows of. */
public final class StoreEra {
    private static final long UNKNOWN = -1;

    private final EventLog mEvents;
    private long mCurrent = UNKNOWN;

    StoreEra(EventLog events) {
        mEvents = events;
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
        if (mCurrent != UNKNOWN) {
            mEvents.log(
                    LogEvent.STORE_RESTORED,
                    EventField.of("before", mCurrent),
                    EventField.of("now", era),
                    EventField.of("source", source));
        }
        mCurrent = era;
    }
}
