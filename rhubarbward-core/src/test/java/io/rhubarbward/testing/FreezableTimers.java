package io.rhubarbward.testing;

import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Timers of a VM on shared virtual time that can be frozen: its monotonic clock then stands still,
 * its wall clock does not, and all actions wait for the end.
 */
public final class FreezableTimers implements TimerService {
    private static final long NOT_FROZEN = -1;

    private final TimerService mShared;
    private final List<Runnable> mDeferred = new ArrayList<>();
    private long mFrozenAtMillis = NOT_FROZEN;
    private long mFrozenMillis;
    private boolean mStopped;

    public FreezableTimers(TimerService shared) {
        mShared = shared;
    }

    public void freeze() {
        mFrozenAtMillis = mShared.nowMillis();
    }

    /** Ends the freeze and runs the actions that came due during it, in order. */
    public void thaw() {
        mFrozenMillis += mShared.nowMillis() - mFrozenAtMillis;
        mFrozenAtMillis = NOT_FROZEN;
        List<Runnable> deferred = List.copyOf(mDeferred);
        mDeferred.clear();
        deferred.forEach(this::run);
    }

    /** Ends the process: no action runs from now on. */
    public void stop() {
        mStopped = true;
    }

    /** Runs the action now, or at the end of the freeze. */
    public void run(Runnable action) {
        if (mStopped) {
            return;
        }
        if (mFrozenAtMillis == NOT_FROZEN) {
            action.run();
        } else {
            mDeferred.add(action);
        }
    }

    @Override
    public long nowMillis() {
        long frozen = mFrozenAtMillis == NOT_FROZEN ? 0 : mShared.nowMillis() - mFrozenAtMillis;
        return mShared.nowMillis() - mFrozenMillis - frozen;
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
}
