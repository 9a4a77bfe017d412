package io.rhubarbward.timer;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service whose clock moves only when told to.
 *
 * <pre>{@code
 * VirtualTimerService timers = new VirtualTimerService();
 * timers.after(Duration.ofSeconds(3), this::expire);
 * timers.advance(Duration.ofSeconds(3));
 * }</pre>
 *
 * <p>Actions due at the same time run in the order in which they were subscribed. Not thread-safe.
 */
public final class VirtualTimerService implements TimerService {
    private final PriorityQueue<Entry> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::sequence));
    private long mNowMillis;
    private long mSequence;

    @Override
    public long nowMillis() {
        return mNowMillis;
    }

    @Override
    public long epochMillis() {
        return mNowMillis;
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
        Entry entry = new Entry(mNowMillis + Math.max(0, delay.toMillis()), mSequence++, action);
        mQueue.add(entry);
        return () -> mQueue.remove(entry);
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        Repeating repeating = new Repeating(period, action);
        repeating.schedule();
        return repeating;
    }

    @Override
    public void execute(Runnable action) {
        after(Duration.ZERO, action);
    }

    /** Runs all that is due now, without moving the clock. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    /** Moves the clock on, running each action at its own time. */
    public void advance(Duration duration) {
        long end = mNowMillis + duration.toMillis();
        for (Entry next = mQueue.peek();
                next != null && next.dueMillis() <= end;
                next = mQueue.peek()) {
            mQueue.remove(next);
            mNowMillis = Math.max(mNowMillis, next.dueMillis());
            next.action().run();
        }
        mNowMillis = end;
    }

    /** An action and its time; identity decides equality, since two timers may share an action. */
    private static final class Entry {
        private final long mDueMillis;
        private final long mSequence;
        private final Runnable mAction;

        Entry(long dueMillis, long sequence, Runnable action) {
            mDueMillis = dueMillis;
            mSequence = sequence;
            mAction = action;
        }

        long dueMillis() {
            return mDueMillis;
        }

        long sequence() {
            return mSequence;
        }

        Runnable action() {
            return mAction;
        }
    }

    private final class Repeating implements Subscription {
        private final Duration mPeriod;
        private final Runnable mAction;
        private Subscription mNext = () -> {};
        private boolean mCancelled;

        Repeating(Duration period, Runnable action) {
            mPeriod = period;
            mAction = action;
        }

        void schedule() {
            mNext = after(mPeriod, this::run);
        }

        private void run() {
            mAction.run();
            if (!mCancelled) {
                schedule();
            }
        }

        @Override
        public void cancel() {
            mCancelled = true;
            mNext.cancel();
        }
    }
}
