package io.rhubarbward.timer;

/**
 * Bounds how long what an event loop reads now may have waited in its socket.
 *
 * <pre>{@code
 * unread.onPoll(now);     // the loop asks which sockets are ready
 * unread.onWait();        // none was, so that the loop waits for one
 * unread.onWork(now);     // before each piece of work that follows
 * unread.nanos(now);
 * }</pre>
 *
 * <p>What is read in an iteration was not there yet when the iteration before asked for ready
 * sockets. If the loop waited for sockets in between, it has come only now.
 */
public final class UnreadTime {
    /** Length of an iteration up to which what came during it counts as read at once. */
    private static final long SHORT_ITERATION_NANOS = 5_000_000;

    private long mIterationStartNanos;
    private long mReadableSinceNanos;
    private boolean mWaiting;

    /** Starts with nothing unread. */
    public UnreadTime(long nowNanos) {
        mIterationStartNanos = nowNanos;
        mReadableSinceNanos = nowNanos;
    }

    /**
     * Returns whether the loop must ask for ready sockets before it waits, so that what came during
     * a long iteration is told from what comes later.
     */
    public boolean mustPollBeforeWait(long nowNanos) {
        return !mWaiting && nowNanos - mIterationStartNanos > SHORT_ITERATION_NANOS;
    }

    /** Records that the loop has asked which sockets are ready, which begins an iteration. */
    public void onPoll(long nowNanos) {
        // Nothing has run since the loop waited, or it would have been recorded.
        mReadableSinceNanos = mWaiting ? nowNanos : mIterationStartNanos;
        mIterationStartNanos = nowNanos;
        mWaiting = false;
    }

    /** Records that nothing is left to do, and that the loop waits. */
    public void onWait() {
        mWaiting = true;
    }

    /** Records that the loop runs something. */
    public void onWork(long nowNanos) {
        if (mWaiting) {
            mWaiting = false;
            mReadableSinceNanos = nowNanos;
            mIterationStartNanos = nowNanos;
        }
    }

    /** Returns for how long what is read now may have been readable. */
    public long nanos(long nowNanos) {
        onWork(nowNanos);
        return nowNanos - mReadableSinceNanos;
    }
}
