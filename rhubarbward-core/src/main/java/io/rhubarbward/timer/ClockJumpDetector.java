package io.rhubarbward.timer;

/**
 * Detects that the wall clock has jumped relative to the monotonic clock.
 *
 * <p>The monotonic clock of a suspended VM does not count the pause, so that data which seems fresh
 * after the VM resumes may be seconds old. An adjustment of the wall clock looks the same and is
 * reported too, since the two cannot be told apart.
 */
public final class ClockJumpDetector {
    /** Smallest change of the offset that is a jump: well above timer inaccuracy. */
    private static final long MIN_JUMP_MILLIS = 250;

    private final TimerService mTimers;
    private long mReferenceOffsetMillis;

    /** Takes the current offset of the clocks as the reference. */
    public ClockJumpDetector(TimerService timers) {
        mTimers = timers;
        mReferenceOffsetMillis = wallClockOffsetMillis();
    }

    /**
     * Returns how far the wall clock has jumped since the last reported jump, negative if
     * backwards; 0 if it has not jumped.
     */
    public long takeJumpMillis() {
        long offsetMillis = wallClockOffsetMillis();
        long jumpMillis = offsetMillis - mReferenceOffsetMillis;
        if (Math.abs(jumpMillis) < MIN_JUMP_MILLIS) {
            return 0;
        }
        mReferenceOffsetMillis = offsetMillis;
        return jumpMillis;
    }

    private long wallClockOffsetMillis() {
        return mTimers.epochMillis() - mTimers.nowMillis();
    }
}
