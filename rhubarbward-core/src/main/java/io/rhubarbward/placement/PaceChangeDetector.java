package io.rhubarbward.placement;

/** Tells when a server has become slow and when it is no longer so, at most once a second. */
final class PaceChangeDetector {
    /**
     * Slowdown above which a server becomes slow: a server that slows down 2.5 times for 15 in 100
     * of the time stays below it.
     */
    private static final double SLOW_ABOVE = 1.5;

    /** Slowdown below which a slow server is no longer slow. */
    private static final double USUAL_BELOW = 1.2;

    private static final long MIN_INTERVAL_MILLIS = 1000;

    private boolean mSlow;
    private long mChangedMillis = Long.MIN_VALUE / 2;

    /** Returns whether the server has become slow, or is no longer slow, by this slowdown. */
    boolean update(double slowdown, long nowMillis) {
        boolean slow = mSlow ? slowdown >= USUAL_BELOW : slowdown > SLOW_ABOVE;
        if (slow == mSlow || nowMillis - mChangedMillis < MIN_INTERVAL_MILLIS) {
            return false;
        }
        mSlow = slow;
        mChangedMillis = nowMillis;
        return true;
    }
}
