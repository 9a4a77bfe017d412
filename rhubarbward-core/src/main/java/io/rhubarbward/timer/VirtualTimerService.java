package io.rhubarbward.timer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A timer service with a simulated clock, which moves only in {@link #advance}.
 *
 * <pre>{@code
 * VirtualTimerService timers = new VirtualTimerService();
 * timers.after(Duration.ofSeconds(3), this::expire);
 * timers.advance(Duration.ofSeconds(3));
 * }</pre>
 *
 * <p>Actions due at the same time run in the order in which they were scheduled. Not thread-safe.
 */
public final class VirtualTimerService implements TimerService {
    private final PriorityQueue<ScheduledAction> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::dueMillis)
                            .thenComparingLong(ScheduledAction::sequence));
    private final Queue<Runnable> mUnread = new ArrayDeque<>();
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
        ScheduledAction scheduled =
                new ScheduledAction(
                        mNowMillis + Math.max(0, delay.toMillis()), mSequence++, action);
        mQueue.add(scheduled);
        return () -> mQueue.remove(scheduled);
    }

    @Override
    public Subscription afterReading(Duration delay, Runnable action) {
        AtomicBoolean cancelled = new AtomicBoolean();
        Subscription timer =
                after(
                        delay,
                        () -> {
                            readAll();
                            if (!cancelled.get()) {
                                action.run();
                            }
                        });
        return () -> {
            cancelled.set(true);
            timer.cancel();
        };
    }

    private void readAll() {
        for (Runnable arrival = mUnread.poll(); arrival != null; arrival = mUnread.poll()) {
            arrival.run();
        }
    }

    /**
     * Simulates what arrives while the process stands still: it is handled before the next action
     * of {@link #afterReading} that is due, and after plain timers.
     */
    public void arriveUnread(Runnable arrival) {
        mUnread.add(arrival);
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        RepeatingAction repeating = new RepeatingAction(period, action);
        repeating.schedule();
        return repeating;
    }

    @Override
    public void execute(Runnable action) {
        after(Duration.ZERO, action);
    }

    /** Runs all actions that are due now, without moving the clock. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    /** Moves the clock forward and runs each action at its due time. */
    public void advance(Duration duration) {
        long end = mNowMillis + duration.toMillis();
        for (ScheduledAction next = mQueue.peek();
                next != null && next.dueMillis() <= end;
                next = mQueue.peek()) {
            mQueue.remove(next);
            mNowMillis = Math.max(mNowMillis, next.dueMillis());
            next.action().run();
        }
        mNowMillis = end;
    }

    /** An action and its due time. Compared by identity: two timers may share an action. */
    private static final class ScheduledAction {
        private final long mDueMillis;
        private final long mSequence;
        private final Runnable mAction;

        ScheduledAction(long dueMillis, long sequence, Runnable action) {
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

    private final class RepeatingAction implements Subscription {
        private final Duration mPeriod;
        private final Runnable mAction;
        private Subscription mNext = () -> {};
        private boolean mCancelled;

        RepeatingAction(Duration period, Runnable action) {
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
