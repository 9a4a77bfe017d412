package io.rhubarbward.membership;

/**
 * Makes a member that keeps coming back wait longer each time before it owns keys again.
 *
 * <p>The first return within the window costs nothing, so that a single pause or a lost connection
 * moves no key for longer than it lasts. Each further one doubles the wait.
 */
final class FlapDamping {
    private static final long WINDOW_MILLIS = 60_000;
    private static final long FIRST_HOLD_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 4;

    private long mLastReturnMillis;
    private int mReturns;
    private long mHeldUntilMillis;

    /** Notes a return from the dead. */
    void returned(long nowMillis) {
        boolean again = mReturns > 0 && nowMillis - mLastReturnMillis < WINDOW_MILLIS;
        mReturns = again ? mReturns + 1 : 1;
        mLastReturnMillis = nowMillis;
        if (mReturns > 1) {
            int doublings = Math.min(mReturns - 2, MAX_DOUBLINGS);
            mHeldUntilMillis = nowMillis + (FIRST_HOLD_MILLIS << doublings);
        }
    }

    boolean holds(long nowMillis) {
        return nowMillis < mHeldUntilMillis;
    }
}
