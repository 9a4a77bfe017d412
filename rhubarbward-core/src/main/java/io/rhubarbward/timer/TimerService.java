package io.rhubarbward.timer;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A clock and a scheduler that runs all actions on one thread.
 *
 * <pre>{@code
 * Subscription heartbeat = timers.every(Duration.ofSeconds(1), this::sendHeartbeat);
 * heartbeat.cancel();
 * }</pre>
 *
 * <p>Every action runs on the service's own thread, one at a time, so that the components that use
 * it need no locks. {@link #execute} runs an action on that thread as soon as possible.
 */
public interface TimerService extends Executor {
    /** Returns the monotonic clock in milliseconds, with an arbitrary origin. */
    long nowMillis();

    /** Returns the wall clock in Unix milliseconds, which may jump. */
    long epochMillis();

    /**
     * Returns for how long, in milliseconds, what is read from sockets now may have waited there; 0
     * if that is not known.
     */
    default long unreadMillis() {
        return 0;
    }

    /** Runs the action once, after the delay. */
    Subscription after(Duration delay, Runnable action);

    /**
     * Runs the action once, after the delay and after what has arrived until then was read: for
     * limits on the time that others take, which must not charge them with this process's delays.
     */
    default Subscription afterReading(Duration delay, Runnable action) {
        return after(delay, action);
    }

    /** Runs the action repeatedly, first after one period, until cancelled. */
    Subscription every(Duration period, Runnable action);

    /** A scheduled action that can be cancelled. */
    @FunctionalInterface
    interface Subscription {
        /** Cancels the action; has no effect if it was cancelled or has run for the last time. */
        void cancel();
    }
}
