package io.rhubarbward.testing;

import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Timers of one simulated process on shared virtual time, which can be paused or stopped. */
public final class PausableTimers implements TimerService {
    private final TimerService mShared;
    private final List<Runnable> mDeferred = new ArrayList<>();
    private boolean mPaused;
    private boolean mStopped;

    public PausableTimers(TimerService shared) {
        mShared = shared;
    }

    public void pause() {
        mPaused = true;
    }

    /** Ends the pause and runs the actions that came due during it, in order. */
    public void resume() {
        mPaused = false;
        List<Runnable> deferred = List.copyOf(mDeferred);
        mDeferred.clear();
        deferred.forEach(Runnable::run);
    }

    /** Stops the process: no action runs from now on. */
    public void stop() {
        mStopped = true;
    }

    @Override
    public long nowMillis() {
        return mShared.nowMillis();
    }

    @Override
    public long epochMillis() {
        return mShared.epochMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
        return mShared.after(delay, () -> run(action));
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        return mShared.every(period, () -> run(action));
    }

    @Override
    public void execute(Runnable action) {
        mShared.execute(() -> run(action));
    }

    private void run(Runnable action) {
        if (mPaused) {
            mDeferred.add(action);
        } else if (!mStopped) {
            action.run();
        }
    }
}
