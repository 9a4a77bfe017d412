package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.net.loop.EventLoopTimer;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.platform.PlatformAdapter;
import io.rhubarbward.standin.fleet.StoreStandin;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The entry by which a router lists itself in the platform's store, over sockets. */
@Timeout(60)
final class RouterEntryTest {
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoopTimerService mTimers =
            new EventLoopTimerService(mGroup.next(), EventLog.none());
    private final AsyncHttpClient mClient =
            HttpClients.openOnEventLoop(
                    mGroup,
                    new EventLoopTimer(mGroup.next(), EventLog.none()),
                    PlatformAdapter.ANSWER_ID_HEADER);
    private final StoreStandin mStore =
            new StoreStandin(
                    mGroup, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), mTimers);

    @AfterEach
    void close() throws IOException {
        mStore.close();
        mClient.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // Guards against upgraded routers that others take for ones that forward nothing.
    @Test
    void theEntryOfAnEarlierBuildIsReplaced() {
        mStore.put("routers", "vm-1", "{\"zone\":\"a\",\"address\":\"10.0.0.1:7340\"}");
        boolean listed =
                PlatformAdapter.store(mClient, mStore::address, mTimers)
                        .presenceWriter()
                        .announce(
                                "vm-1",
                                new RouterPresence("a", "10.0.0.1:7340", "10.0.0.1:7341", 1))
                        .toCompletableFuture()
                        .join();
        assertThat(listed).isTrue();
        assertThat(mStore.spec("routers", "vm-1").join()).contains("10.0.0.1:7341");
    }
}
