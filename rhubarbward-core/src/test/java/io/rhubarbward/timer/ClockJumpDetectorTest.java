package io.rhubarbward.timer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ClockJumpDetectorTest {
    /** A timer service whose wall clock can jump, as on a VM that was suspended. */
    private static final class SettableClocks implements TimerService {
        private long mMonotonicMillis;
        private long mEpochMillis;

        @Override
        public long nowMillis() {
            return mMonotonicMillis;
        }

        @Override
        public long epochMillis() {
            return mEpochMillis;
        }

        @Override
        public Subscription after(Duration delay, Runnable action) {
            return () -> {};
        }

        @Override
        public Subscription every(Duration period, Runnable action) {
            return () -> {};
        }

        @Override
        public void execute(Runnable action) {
            action.run();
        }
    }

    private final SettableClocks mClocks = new SettableClocks();
    private final ClockJumpDetector mDetector = new ClockJumpDetector(mClocks);

    @Test
    void aDifferenceWithinTimerInaccuracyIsNotReported() {
        mClocks.mMonotonicMillis += 5000;
        mClocks.mEpochMillis += 5100;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(0);
    }

    @Test
    void aPauseIsReportedOnce() {
        mClocks.mEpochMillis += 4000;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(4000);
        assertThat(mDetector.takeJumpMillis()).isEqualTo(0);
    }

    @Test
    void aBackwardStepOfTheWallClockIsReported() {
        mClocks.mEpochMillis -= 2400;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(-2400);
    }
}
