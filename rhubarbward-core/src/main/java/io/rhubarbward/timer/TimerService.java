package io.rhubarbward.timer;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Tells the time and runs actions at later times, all on one thread.
 *
 * <pre>{@code
 * Subscription heartbeat = timers.every(Duration.ofSeconds(1), this::sendHeartbeat);
 * heartbeat.cancel();
 * }</pre>
 *
 * <p>Every action runs on the service's own thread, one at a time, so that the parts that subscribe
 * need no locks. {@link #execute} runs an action on that thread as soon as possible.
 */
public interface TimerService extends Executor {
    /** Returns milliseconds on a monotonic clock with an arbitrary origin. */
    long nowMillis();

    /** Returns milliseconds since 1970 on the wall clock, which may jump. */
    long epochMillis();

    /** Runs the action once, after the delay. */
    Subscription after(Duration delay, Runnable action);

    /** Runs the action after each period until cancelled. */
    Subscription every(Duration period, Runnable action);

    /** A timer that can be cancelled. */
    @FunctionalInterface
    interface Subscription {
        /** Cancels the timer; does nothing when it has run or was cancelled before. */
        void cancel();
    }
}
