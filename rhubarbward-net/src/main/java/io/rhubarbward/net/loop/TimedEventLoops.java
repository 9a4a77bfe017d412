package io.rhubarbward.net.loop;

import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.rhubarbward.timer.UnreadTime;
import java.nio.channels.spi.SelectorProvider;

/** Creates event loops that record when they ask for ready sockets. */
public final class TimedEventLoops {
    private TimedEventLoops() {}

    /**
     * Returns a group with one event loop.
     *
     * @param unread is told of each iteration, on the loop's thread
     */
    public static NioEventLoopGroup open(String threadName, UnreadTime unread) {
        return new NioEventLoopGroup(
                1,
                new DefaultThreadFactory(threadName),
                SelectorProvider.provider(),
                () -> recording(unread));
    }

    private static SelectStrategy recording(UnreadTime unread) {
        return (selectNow, hasTasks) -> {
            long now = System.nanoTime();
            if (hasTasks || unread.mustPollBeforeWait(now)) {
                int ready = selectNow.get();
                if (hasTasks || ready > 0) {
                    unread.onPoll(now);
                    return ready;
                }
            }
            unread.onWait();
            return SelectStrategy.SELECT;
        };
    }
}
