package io.rhubarbward.net.loop;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * A time-out on an event loop that lets the sockets go first: what arrived in time is read, and
 * what was pending is written, before it expires.
 *
 * <pre>{@code
 * LoopTimeout timeout = LoopTimeout.start(loop, this::onSilence, 500, TimeUnit.MILLISECONDS);
 * timeout.cancel();
 * }</pre>
 *
 * <p>An iteration of the loop handles the sockets that were ready when it began, then the timers
 * that are due. In a process that was stopped and goes on, the wait for sockets is interrupted and
 * returns none, so that timers run ahead of all that has arrived meanwhile. A time-out that is due
 * therefore waits for one more iteration.
 *
 * <p>The limit of a time-out that is started with {@link #startWithLimit} may change: where it was
 * raised, the time-out waits for the rest when it is due.
 */
public final class LoopTimeout {
    /** Shortest delay in milliseconds that ends in a later iteration of the loop. */
    private static final long ONE_ITERATION_MILLIS = 1;

    private final EventExecutor mLoop;
    private final Runnable mOnExpired;
    private final LongSupplier mLimitNanos;
    private @Nullable Future<?> mPending;
    private boolean mCancelled;
    private boolean mExpired;

    private LoopTimeout(EventExecutor loop, Runnable onExpired, LongSupplier limitNanos) {
        mLoop = loop;
        mOnExpired = onExpired;
        mLimitNanos = limitNanos;
    }

    /** Starts a time-out whose action runs on the loop unless it is cancelled before. */
    public static LoopTimeout start(
            EventExecutor loop, Runnable onExpired, long delay, TimeUnit unit) {
        return start(loop, onExpired, () -> unit.toNanos(delay));
    }

    /**
     * Starts a time-out with a limit that may change meanwhile.
     *
     * @param limitMillis the limit in force; asked now and when the time-out is due
     */
    public static LoopTimeout startWithLimit(
            EventExecutor loop, Runnable onExpired, LongSupplier limitMillis) {
        return start(loop, onExpired, () -> TimeUnit.MILLISECONDS.toNanos(limitMillis.getAsLong()));
    }

    private static LoopTimeout start(
            EventExecutor loop, Runnable onExpired, LongSupplier limitNanos) {
        LoopTimeout timeout = new LoopTimeout(loop, onExpired, limitNanos);
        timeout.await(0);
        return timeout;
    }

    /** Waits for what is left of the limit in force, then for one iteration. */
    private void await(long passedNanos) {
        long limitNanos = mLimitNanos.getAsLong();
        if (passedNanos > 0 && passedNanos >= limitNanos) {
            schedule(this::expire, TimeUnit.MILLISECONDS.toNanos(ONE_ITERATION_MILLIS));
        } else {
            schedule(() -> await(Math.max(1, limitNanos)), limitNanos - passedNanos);
        }
    }

    private synchronized void schedule(Runnable action, long delayNanos) {
        if (!mCancelled) {
            mPending = mLoop.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void expire() {
        if (markExpired()) {
            mOnExpired.run();
        }
    }

    private synchronized boolean markExpired() {
        mExpired = !mCancelled;
        return mExpired;
    }

    /** Cancels the time-out, on any thread; returns false if it has expired. */
    public synchronized boolean cancel() {
        if (mExpired) {
            return false;
        }
        mCancelled = true;
        if (mPending != null) {
            mPending.cancel(false);
        }
        return true;
    }

    /** Returns whether it was cancelled before it expired. */
    public synchronized boolean cancelled() {
        return mCancelled;
    }
}
