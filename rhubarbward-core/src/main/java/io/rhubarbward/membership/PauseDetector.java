package io.rhubarbward.membership;

import java.time.Duration;

/**
 * Detects that this process did not run for a while, from the time between two checks.
 *
 * <p>Checked at every tick and before a membership message, a quota message or a request for a
 * quota unit is handled, so that a process that resumes does not act on outdated state.
 */
final class PauseDetector {
    private static final int MAX_GAP_PERIODS = 2;

    private final long mMaxGapMillis;
    private long mLastCheckMillis;

    PauseDetector(Duration tickPeriod, long nowMillis) {
        mMaxGapMillis = tickPeriod.toMillis() * MAX_GAP_PERIODS;
        mLastCheckMillis = nowMillis;
    }

    /** Returns whether more than two tick periods have passed since the previous check. */
    boolean wasPaused(long nowMillis) {
        boolean paused = nowMillis - mLastCheckMillis > mMaxGapMillis;
        mLastCheckMillis = nowMillis;
        return paused;
    }
}
