package io.rhubarbward.timer;

import java.time.Duration;

/**
 * Measures how far an event loop is behind, by the lateness of a periodic action.
 *
 * <pre>{@code
 * EventLoopLag lag = new EventLoopLag(timers, Duration.ofMillis(200));
 * timers.every(Duration.ofMillis(200), lag::tick);
 * long waitedAtMost = lag.millis();
 * }</pre>
 *
 * <p>After a stall the loop handles what it reads before its late timers, so the lag is taken from
 * the time at which the next tick is due.
 */
public final class EventLoopLag {
    private final TimerService mTimers;
    private final long mPeriodMillis;
    private long mTickedMillis;

    /** Expects {@link #tick} once in each period. */
    public EventLoopLag(TimerService timers, Duration period) {
        mTimers = timers;
        mPeriodMillis = period.toMillis();
        mTickedMillis = timers.nowMillis();
    }

    /** Records that the periodic action runs. */
    public void tick() {
        mTickedMillis = mTimers.nowMillis();
    }

    /** Returns by how much the next tick is overdue; 0 if it is not. */
    public long millis() {
        return Math.max(0, mTimers.nowMillis() - mTickedMillis - mPeriodMillis);
    }
}
