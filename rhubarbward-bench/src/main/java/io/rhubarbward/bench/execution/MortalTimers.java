package io.rhubarbward.bench.execution;

import io.rhubarbward.timer.TimerService;
import java.time.Duration;

/** Timers of one process: none runs once the process has died. */
final class MortalTimers implements TimerService {
    private final TimerService mTimers;
    private boolean mStopped;

    MortalTimers(TimerService timers) {
        mTimers = timers;
    }

    void stop() {
        mStopped = true;
    }

    boolean stopped() {
        return mStopped;
    }

    @Override
    public long nowMillis() {
        return mTimers.nowMillis();
    }

    @Override
    public long epochMillis() {
        return mTimers.epochMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
        return mTimers.after(delay, () -> run(action));
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        Subscription[] self = new Subscription[1];
        self[0] =
                mTimers.every(
                        period,
                        () -> {
                            if (mStopped) {
                                self[0].cancel();
                            }
                            run(action);
                        });
        return self[0];
    }

    @Override
    public void execute(Runnable action) {
        mTimers.execute(() -> run(action));
    }

    void run(Runnable action) {
        if (!mStopped) {
            action.run();
        }
    }
}
