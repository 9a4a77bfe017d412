package io.rhubarbward.net.loop;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
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
 */
public final class LoopTimeout {
    /** Shortest delay in milliseconds that ends in a later iteration of the loop. */
    private static final long ONE_ITERATION_MILLIS = 1;

    private final EventExecutor mLoop;
    private final Runnable mOnExpired;
    private @Nullable Future<?> mPending;
    private boolean mCancelled;

    private LoopTimeout(EventExecutor loop, Runnable onExpired) {
        mLoop = loop;
        mOnExpired = onExpired;
    }

    /** Starts a time-out whose action runs on the loop unless it is cancelled before. */
    public static LoopTimeout start(
            EventExecutor loop, Runnable onExpired, long delay, TimeUnit unit) {
        LoopTimeout timeout = new LoopTimeout(loop, onExpired);
        timeout.schedule(timeout::onDue, delay, unit);
        return timeout;
    }

    private synchronized void schedule(Runnable action, long delay, TimeUnit unit) {
        if (!mCancelled) {
            mPending = mLoop.schedule(action, delay, unit);
        }
    }

    private void onDue() {
        schedule(mOnExpired, ONE_ITERATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Cancels the time-out, on any thread; returns false if it has expired. */
    public synchronized boolean cancel() {
        boolean expired = mPending != null && mPending.isDone() && !mPending.isCancelled();
        mCancelled |= !expired;
        if (mPending != null) {
            mPending.cancel(false);
        }
        return !expired;
    }

    /** Returns whether it was cancelled before it expired. */
    public synchronized boolean cancelled() {
        return mCancelled;
    }
}
