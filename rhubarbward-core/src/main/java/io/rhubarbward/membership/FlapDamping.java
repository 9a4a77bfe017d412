package io.rhubarbward.membership;

/**
 * Flap damping: keeps a router that repeatedly returns from being owner of keys, each time longer.
 *
 * <p>The first return within the window is not delayed, so that a single pause or lost connection
 * moves keys only while it lasts. Each further return doubles the delay.
 */
final class FlapDamping {
    private static final long WINDOW_MILLIS = 60_000;
    private static final long FIRST_DELAY_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 4;

    private long mLastReturnMillis;
    private int mReturns;
    private long mHeldDownUntilMillis;

    /** Records that the router was heard again after it was dead, or runs again after a pause. */
    void recordReturn(long nowMillis) {
        boolean withinWindow = mReturns > 0 && nowMillis - mLastReturnMillis < WINDOW_MILLIS;
        mReturns = withinWindow ? mReturns + 1 : 1;
        mLastReturnMillis = nowMillis;
        if (mReturns > 1) {
            int doublings = Math.min(mReturns - 2, MAX_DOUBLINGS);
            mHeldDownUntilMillis = nowMillis + (FIRST_DELAY_MILLIS << doublings);
        }
    }

    boolean isHeldDown(long nowMillis) {
        return nowMillis < mHeldDownUntilMillis;
    }
}
