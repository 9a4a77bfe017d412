package io.rhubarbward.timer;

/**
 * Notices that the monotonic clock and the wall clock have moved apart.
 *
 * <p>A VM that was suspended wakes with a monotonic clock that did not count the pause, so that all
 * that was confirmed "a moment ago" may be seconds old. A step of the wall clock looks the same and
 * is treated alike, since the two cannot be told apart.
 */
public final class ClockJumpDetector {
    /** Difference above which the clocks count as moved apart: well above timer inaccuracy. */
    private static final long LIMIT_MILLIS = 250;

    private final TimerService mTimers;
    private long mOffsetMillis;

    /** Starts from how the clocks stand now. */
    public ClockJumpDetector(TimerService timers) {
        mTimers = timers;
        mOffsetMillis = offset();
    }

    /** Returns by how much the clocks have moved apart since the last jump; 0 if they have not. */
    public long takeJumpMillis() {
        long offset = offset();
        long moved = offset - mOffsetMillis;
        if (Math.abs(moved) < LIMIT_MILLIS) {
            return 0;
        }
        mOffsetMillis = offset;
        return moved;
    }

    private long offset() {
        return mTimers.epochMillis() - mTimers.nowMillis();
    }
}
