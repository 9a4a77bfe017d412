package io.rhubarbward.net.loop;

import io.netty.channel.EventLoop;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A Netty timer that runs its tasks on an event loop, after what has arrived in time was read.
 * {@link io.netty.util.HashedWheelTimer} would need a thread that wakes at every tick, even with no
 * timeout pending.
 */
public final class EventLoopTimer implements Timer {
    private final EventLoop mEventLoop;
    private final EventLog mEvents;

    /** Creates a timer whose tasks run on the event loop. */
    public EventLoopTimer(EventLoop eventLoop, EventLog events) {
        mEventLoop = eventLoop;
        mEvents = events;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        ScheduledTimeout timeout = new ScheduledTimeout(task);
        timeout.mTimeout = LoopTimeout.start(mEventLoop, timeout::expire, delay, unit);
        return timeout;
    }

    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    private final class ScheduledTimeout implements Timeout {
        private final TimerTask mTask;
        private @Nullable LoopTimeout mTimeout;
        private boolean mExpired;

        ScheduledTimeout(TimerTask task) {
            mTask = task;
        }

        private void expire() {
            mExpired = true;
            try {
                mTask.run(this);
            } catch (Exception e) {
                // A task may throw any exception; it is logged so that other timeouts still run.
                mEvents.log(LogEvent.ACTION_FAILED, e);
            }
        }

        @Override
        public Timer timer() {
            return EventLoopTimer.this;
        }

        @Override
        public TimerTask task() {
            return mTask;
        }

        @Override
        public boolean isExpired() {
            return mExpired;
        }

        @Override
        public boolean isCancelled() {
            return mTimeout != null && mTimeout.cancelled();
        }

        @Override
        public boolean cancel() {
            return mTimeout != null && mTimeout.cancel();
        }
    }
}
