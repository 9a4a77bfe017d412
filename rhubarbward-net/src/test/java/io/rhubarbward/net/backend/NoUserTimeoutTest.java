package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.loop.EventLoopTimer;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.Test;

/**
 * The socket option {@code TCP_USER_TIMEOUT} also decides when keep-alive probes give up. Only
 * native transports can set it.
 */
final class NoUserTimeoutTest {
    @Test
    void nativeTransportsThatCanSetTheOptionAreNotOnTheClassPath() {
        assertThrows(
                ClassNotFoundException.class,
                () -> Class.forName("io.netty.channel.epoll.EpollChannelOption"));
        assertThrows(
                ClassNotFoundException.class,
                () -> Class.forName("io.netty.channel.uring.IoUringChannelOption"));
    }

    @Test
    void theClientSetsNoSocketOptionsOfTheTransport() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoopTimer timer = new EventLoopTimer(group.next(), EventLog.none());
        try (AsyncHttpClient client = HttpClients.openOnEventLoop(group, timer, "id")) {
            assertThat(client.getConfig().getChannelOptions()).isEmpty();
            assertThat(client.getConfig().isUseNativeTransport()).isFalse();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
