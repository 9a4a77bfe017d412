package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.HttpResources;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ThriftPeerTransportTest {
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final SystemTimerService mTimers = new SystemTimerService("peers", EventLog.none());

    @AfterEach
    void close() {
        mTimers.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void messageIsDeliveredWithItsSender() throws Exception {
        try (ThriftPeerTransport first = open("entry-1");
                ThriftPeerTransport second = open("entry-2")) {
            CompletableFuture<String> received = new CompletableFuture<>();
            mTimers.execute(
                    () ->
                            second.subscribe(
                                    Heartbeat.class,
                                    (from, message) -> received.complete(from + " " + message)));
            Peer to = new Peer("entry-2", "dc-a", "127.0.0.1:" + second.port());
            Heartbeat heartbeat = new Heartbeat(7, 3);
            mTimers.execute(() -> first.send(to, heartbeat));
            assertThat(received.get(60, TimeUnit.SECONDS)).isEqualTo("entry-1 " + heartbeat);
        }
    }

    @Test
    void laterMessagesHaveTheSenderThatTheFirstFrameNamed() throws Exception {
        try (ThriftPeerTransport first = open("entry-1");
                ThriftPeerTransport second = open("entry-2")) {
            CompletableFuture<String> senderOfThird = new CompletableFuture<>();
            mTimers.execute(
                    () ->
                            second.subscribe(
                                    Heartbeat.class,
                                    (from, message) -> {
                                        if (message.generation() == 3) {
                                            senderOfThird.complete(from);
                                        }
                                    }));
            Peer to = new Peer("entry-2", "dc-a", "127.0.0.1:" + second.port());
            for (int generation = 1; generation <= 3; generation++) {
                Heartbeat heartbeat = new Heartbeat(7, generation);
                mTimers.execute(() -> first.send(to, heartbeat));
            }
            assertThat(senderOfThird.get(60, TimeUnit.SECONDS)).isEqualTo("entry-1");
        }
    }

    /**
     * Guards against a router that is left without descriptors by connections to its port, and
     * against silent connections that keep routers out for good.
     */
    @Test
    void theMostSilentConnectionIsClosedAtTheBound() throws Exception {
        try (ThriftPeerTransport transport =
                        new ThriftPeerTransport(
                                "entry-1",
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                mGroup,
                                mTimers,
                                EventLog.none(),
                                new PrometheusRegistry(),
                                HttpResources.ofHeap(),
                                1);
                Socket first = new Socket(InetAddress.getLoopbackAddress(), transport.port());
                Socket second = new Socket(InetAddress.getLoopbackAddress(), transport.port())) {
            assertThat(first.getInputStream().read()).isEqualTo(-1);
            try (Socket third = new Socket(InetAddress.getLoopbackAddress(), transport.port())) {
                assertThat(second.getInputStream().read()).isEqualTo(-1);
                assertThat(third.isConnected()).isTrue();
            }
        }
    }

    /** Guards against unfinished messages that take up the heap. */
    @Test
    void unfinishedMessagesThatFindNoMemoryEndTheirConnection() throws Exception {
        HttpResources resources = HttpResources.ofHeap();
        assertThat(resources.peerMessages().reservation().growTo(Long.MAX_VALUE / 2)).isFalse();
        long freeBytes = Runtime.getRuntime().maxMemory() / 8;
        while (freeBytes > 1000) {
            freeBytes -= resources.peerMessages().reservation().growTo(1000) ? 1000 : freeBytes;
        }
        try (ThriftPeerTransport transport =
                        new ThriftPeerTransport(
                                "entry-1",
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                mGroup,
                                mTimers,
                                EventLog.none(),
                                new PrometheusRegistry(),
                                resources,
                                HttpListener.UNBOUNDED);
                Socket peer = new Socket(InetAddress.getLoopbackAddress(), transport.port())) {
            peer.getOutputStream().write(new byte[] {0, 16, 0, 0});
            peer.getOutputStream().write(new byte[60_000]);
            assertThat(ended(peer)).isTrue();
        }
    }

    private static boolean ended(Socket socket) {
        try {
            return socket.getInputStream().read() == -1;
        } catch (IOException e) {
            // The connection was reset, as bytes of the message were not read.
            return true;
        }
    }

    private ThriftPeerTransport open(String vm) {
        return new ThriftPeerTransport(
                vm,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                mGroup,
                mTimers,
                EventLog.none(),
                new PrometheusRegistry());
    }
}
