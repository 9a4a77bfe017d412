package io.rhubarbward.timer;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A timer service on the system's clocks that runs all actions on one thread of its own.
 *
 * <p>An exception of an action is logged as {@link LogEvent#ACTION_FAILED} and stops neither that
 * action's later runs nor other actions.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final EventLog mEvents;
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Creates a service whose thread has the given name. */
    public SystemTimerService(String threadName, EventLog events) {
        mEvents = events;
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        action -> {
                            Thread thread = new Thread(action, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long epochMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable action) {
        Future<?> timer =
                mExecutor.schedule(catchAndLog(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        Future<?> timer =
                mExecutor.scheduleWithFixedDelay(
                        catchAndLog(action),
                        period.toNanos(),
                        period.toNanos(),
                        TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public void execute(Runnable action) {
        try {
            mExecutor.execute(catchAndLog(action));
        } catch (RejectedExecutionException e) {
            mEvents.log(LogEvent.ACTION_AFTER_CLOSE);
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
        try {
            mExecutor.awaitTermination(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Runnable catchAndLog(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                // An uncaught exception would cancel all later runs of a periodic action.
                mEvents.log(LogEvent.ACTION_FAILED, e);
            }
        };
    }
}
