package io.rhubarbward.net.loop;

import io.netty.channel.EventLoop;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import io.netty.util.concurrent.Future;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Netty's timer on an event loop; its usual hashed wheel would wake a thread all day. */
public final class EventLoopTimer implements Timer {
    private final EventLoop mLoop;
    private final EventLog mEvents;

    /** Runs tasks on the loop. */
    public EventLoopTimer(EventLoop loop, EventLog events) {
        mLoop = loop;
        mEvents = events;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        LoopTimeout timeout = new LoopTimeout(task);
        timeout.mScheduled = mLoop.schedule(timeout::expire, delay, unit);
        return timeout;
    }

    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    private final class LoopTimeout implements Timeout {
        private final TimerTask mTask;
        private @Nullable Future<?> mScheduled;
        private boolean mExpired;

        LoopTimeout(TimerTask task) {
            mTask = task;
        }

        private void expire() {
            mExpired = true;
            try {
                mTask.run(this);
            } catch (Exception e) {
                // The task's interface allows any exception; none may end the loop's other timers.
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
            return mScheduled != null && mScheduled.isCancelled();
        }

        @Override
        public boolean cancel() {
            return mScheduled != null && mScheduled.cancel(false);
        }
    }
}
