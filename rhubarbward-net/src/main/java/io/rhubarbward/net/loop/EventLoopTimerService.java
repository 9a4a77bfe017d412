package io.rhubarbward.net.loop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import io.rhubarbward.timer.UnreadTime;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A timer service on a Netty event loop, so that no handover is needed between the thread of the
 * sockets and the thread of the timers.
 *
 * <p>{@link #execute} runs the action synchronously when called on the event loop. An action that
 * throws is logged as {@link LogEvent#ACTION_FAILED} and does not stop the others.
 */
public final class EventLoopTimerService implements TimerService {
    private final EventLoop mEventLoop;
    private final UnreadTime mUnread;
    private final EventLog mEvents;

    /** Creates a timer service whose actions run on the event loop. */
    public EventLoopTimerService(EventLoop eventLoop, EventLog events) {
        this(eventLoop, new UnreadTime(System.nanoTime()), events);
    }

    /**
     * The same for a loop of {@link TimedEventLoops}.
     *
     * @param unread is told of the loop's iterations
     */
    public EventLoopTimerService(EventLoop eventLoop, UnreadTime unread, EventLog events) {
        mEventLoop = eventLoop;
        mUnread = unread;
        mEvents = events;
    }

    @Override
    public long unreadMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mUnread.nanos(System.nanoTime()));
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
        Future<?> future =
                mEventLoop.schedule(
                        () -> runAndLogFailure(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Subscription afterReading(Duration delay, Runnable action) {
        return LoopTimeout.start(
                        mEventLoop,
                        () -> runAndLogFailure(action),
                        delay.toNanos(),
                        TimeUnit.NANOSECONDS)
                ::cancel;
    }

    @Override
    public Subscription every(Duration period, Runnable action) {
        Future<?> future =
                mEventLoop.scheduleWithFixedDelay(
                        () -> runAndLogFailure(action),
                        period.toNanos(),
                        period.toNanos(),
                        TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void execute(Runnable action) {
        if (mEventLoop.inEventLoop()) {
            runAndLogFailure(action);
            return;
        }
        try {
            mEventLoop.execute(() -> runAndLogFailure(action));
        } catch (RejectedExecutionException e) {
            mEvents.log(LogEvent.ACTION_AFTER_CLOSE);
        }
    }

    private void runAndLogFailure(Runnable action) {
        mUnread.onWork(System.nanoTime());
        try {
            action.run();
        } catch (RuntimeException e) {
            // A failed action must not stop the timers of other components.
            mEvents.log(LogEvent.ACTION_FAILED, e);
        }
    }
}
