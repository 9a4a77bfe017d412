package io.rhubarbward.membership;

import java.time.Duration;

/**
 * Notices that this process did not run for a while, from the gap between its own ticks.
 *
 * <p>Asked before anything else is handled, so that a process that wakes learns that it was away
 * before it acts on what it knew.
 */
final class PauseDetector {
    private static final int MAX_PERIODS = 2;

    private final long mLimitMillis;
    private long mLastMillis;

    PauseDetector(Duration tickPeriod, long nowMillis) {
        mLimitMillis = tickPeriod.toMillis() * MAX_PERIODS;
        mLastMillis = nowMillis;
    }

    /** Notes that the process runs; returns whether it did not for longer than the limit. */
    boolean wasPaused(long nowMillis) {
        boolean paused = nowMillis - mLastMillis > mLimitMillis;
        mLastMillis = nowMillis;
        return paused;
    }
}
