package io.rhubarbward.timer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ClockJumpDetectorTest {
    /** A service whose wall clock can be moved alone, as a suspended VM's is. */
    private static final class Clocks implements TimerService {
        private long mSteady;
        private long mWall;

        @Override
        public long nowMillis() {
            return mSteady;
        }

        @Override
        public long epochMillis() {
            return mWall;
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

    private final Clocks mClocks = new Clocks();
    private final ClockJumpDetector mDetector = new ClockJumpDetector(mClocks);

    @Test
    void clocksThatRunTogetherShowNothing() {
        mClocks.mSteady += 5000;
        mClocks.mWall += 5100;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(0);
    }

    @Test
    void aPauseShowsOnce() {
        mClocks.mWall += 4000;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(4000);
        assertThat(mDetector.takeJumpMillis()).isEqualTo(0);
    }

    @Test
    void aStepBackShowsToo() {
        mClocks.mWall -= 2400;
        assertThat(mDetector.takeJumpMillis()).isEqualTo(-2400);
    }
}
