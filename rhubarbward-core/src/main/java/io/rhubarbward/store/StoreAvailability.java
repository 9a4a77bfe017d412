package io.rhubarbward.store;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether this process reaches the store, as all of its calls together show.
 *
 * <p>Logs each loss and return once.
 */
public final class StoreAvailability {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TimerService mTimers;
    private final EventLog mEvents;
    private final List<Runnable> mOnReturn = new ArrayList<>();
    private long mFailingSince = NEVER;
    private long mLastOutageEnd = NEVER;

    /** Starts in contact. */
    public StoreAvailability(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
    }

    /** Calls the subscriber when an outage has ended. */
    public void subscribeToReturn(Runnable subscriber) {
        mOnReturn.add(subscriber);
    }

    /** A call was answered. */
    public void succeeded() {
        if (lost()) {
            long now = mTimers.nowMillis();
            mEvents.log(
                    LogEvent.PLATFORM_AVAILABLE, EventField.of("outageMs", now - mFailingSince));
            mFailingSince = NEVER;
            mLastOutageEnd = now;
            mOnReturn.forEach(Runnable::run);
        }
    }

    /** A call failed. */
    public void failed(String call, PlatformFailure failure) {
        if (!lost()) {
            mFailingSince = mTimers.nowMillis();
            mEvents.log(
                    LogEvent.PLATFORM_UNAVAILABLE,
                    EventField.of("call", call),
                    EventField.of("failure", failure));
        }
    }

    /** Returns whether the last call failed. */
    public boolean lost() {
        return mFailingSince != NEVER;
    }

    /** Returns how long ago the last outage ended; a very long time if there was none. */
    public long millisSinceOutage() {
        return lost() ? 0 : mTimers.nowMillis() - mLastOutageEnd;
    }
}
