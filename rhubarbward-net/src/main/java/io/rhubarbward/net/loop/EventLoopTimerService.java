package io.rhubarbward.net.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A timer service whose thread is an event loop's, so that sockets and decisions need no hops.
 *
 * <p>{@link #execute} runs the action at once when called on the loop. An action that throws is
 * logged as {@link LogEvent#ACTION_FAILED} and does not stop the others.
 */
public final class EventLoopTimerService implements TimerService {
    private final EventLoop mLoop;
    private final EventLog mEvents;

    /** Runs actions on the loop. */
    public EventLoopTimerService(EventLoop loop, EventLog events) {
        mLoop = loop;
        mEvents = events;
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
                mLoop.schedule(() -> guard(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        Future<?> timer =
                mLoop.scheduleWithFixedDelay(
                        () -> guard(action),
                        period.toNanos(),
                        period.toNanos(),
                        TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public void execute(Runnable action) {
        if (mLoop.inEventLoop()) {
            guard(action);
            return;
        }
        try {
            mLoop.execute(() -> guard(action));
        } catch (RejectedExecutionException e) {
            mEvents.log(LogEvent.ACTION_AFTER_CLOSE);
        }
    }

    private void guard(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            // One part's fault must not silence the timers of all the others.
            mEvents.log(LogEvent.ACTION_FAILED, e);
        }
    }
}
