package io.rhubarbward.testing;

import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One process's timers on the shared virtual time; it can be paused and woken, or stopped. */
public final class PausableTimers implements TimerService {
    private final TimerService mShared;
    private final List<Runnable> mKept = new ArrayList<>();
    private boolean mPaused;
    private boolean mStopped;

    public PausableTimers(TimerService shared) {
        mShared = shared;
    }

    public void pause() {
        mPaused = true;
    }

    /** Runs what came due meanwhile. */
    public void resume() {
        mPaused = false;
        List<Runnable> kept = List.copyOf(mKept);
        mKept.clear();
        kept.forEach(Runnable::run);
    }

    /** Runs nothing any more. */
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
            mKept.add(action);
        } else if (!mStopped) {
            action.run();
        }
    }
}
