package io.rhubarbward.timer;

/**
 * Bounds how long what an event loop reads now may have waited in its socket.
 *
 * <pre>{@code
 * unread.onPoll(now);     // before the loop asks which sockets are ready
 * unread.onWork(now);     // before each piece of work that follows
 * unread.nanos(now);
 * }</pre>
 *
 * <p>What is read in an iteration was not there yet when the iteration before asked for ready
 * sockets. If the loop waited for sockets in between, it has come only now.
 */
public final class UnreadTime {
    /** Time between poll and work from which the loop has waited for a socket or a timer. */
    private static final long MIN_WAIT_NANOS = 1_000_000;

    private long mPolledNanos;
    private long mIterationStartNanos;
    private long mReadableSinceNanos;
    private boolean mWorkStarted = true;

    /** Starts with nothing unread. */
    public UnreadTime(long nowNanos) {
        mPolledNanos = nowNanos;
        mIterationStartNanos = nowNanos;
        mReadableSinceNanos = nowNanos;
    }

    /** Records that the loop is about to ask which sockets are ready. */
    public void onPoll(long nowNanos) {
        mPolledNanos = nowNanos;
        mWorkStarted = false;
    }

    /** Records that the loop runs something. */
    public void onWork(long nowNanos) {
        if (mWorkStarted) {
            return;
        }
        mWorkStarted = true;
        boolean waited = nowNanos - mPolledNanos >= MIN_WAIT_NANOS;
        mReadableSinceNanos = waited ? nowNanos : mIterationStartNanos;
        mIterationStartNanos = waited ? nowNanos : mPolledNanos;
    }

    /** Returns for how long what is read now may have been readable. */
    public long nanos(long nowNanos) {
        onWork(nowNanos);
        return nowNanos - mReadableSinceNanos;
    }
}
