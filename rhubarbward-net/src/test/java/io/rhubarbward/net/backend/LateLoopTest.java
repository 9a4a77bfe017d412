package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.loop.EventLoopTimer;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls of an event loop that is late, over real sockets. */
@Timeout(60)
final class LateLoopTest {
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nx-id: r-1\r\nContent-Length: 0\r\n\r\n";
    private static final Duration TIMEOUT = Duration.ofMillis(20);
    private static final Duration LATENESS = Duration.ofMillis(100);

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoopTimerService mTimers =
            new EventLoopTimerService(mGroup.next(), EventLog.none());
    private final AsyncHttpClient mHttp =
            HttpClients.openOnEventLoop(
                    mGroup, new EventLoopTimer(mGroup.next(), EventLog.none()), "x-id");
    private final AsyncBackendClient mClient = new AsyncBackendClient(mHttp, mTimers, TIMEOUT);
    private final ScriptedServer mServer = new ScriptedServer();

    LateLoopTest() throws IOException {}

    /** Answers all requests, so that each call ends if it reaches the server. */
    @BeforeEach
    void answerRequests() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    mServer.takeRequest().respond(ANSWER);
                                }
                            } catch (InterruptedException | IOException e) {
                                // The test ends.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mServer.close();
    }

    private static BackendRequest requestTo(String address) {
        return new BackendRequest(
                new BackendServer(
                        "s", "orders", "dc-a", address, "1", BackendServer.Fencing.IGNORES),
                "GET",
                "/",
                HeaderFields.of("x-id", "r-1"),
                ByteBuffer.allocate(0));
    }

    private static void occupyLoop() {
        long endNanos = System.nanoTime() + LATENESS.toNanos();
        while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
    }

    /** Runs the action while the loop handles what it has read from a socket. */
    private void whileReading(Runnable action) {
        mClient.send(requestTo(mServer.address()), new Recorder(action));
    }

    // Guards against incident 36: a busy router took every server for unreachable.
    @Test
    void aConnectionThatComesAboutWhileTheLoopIsBusyIsUsed() throws Exception {
        Recorder second = new Recorder(() -> {});
        whileReading(
                () -> {
                    mClient.send(requestTo(mServer.address()), second);
                    occupyLoop();
                });
        assertThat(second.mOutcome.get()).isEqualTo("complete");
    }

    @Test
    void aProbeThatConnectsWhileTheLoopIsBusySucceeds() throws Exception {
        CompletableFuture<Boolean> connected = new CompletableFuture<>();
        whileReading(
                () -> {
                    new NettyConnectProbe(mGroup, mTimers)
                            .connect(mServer.address(), TIMEOUT, connected::complete);
                    occupyLoop();
                });
        assertThat(connected.get()).isTrue();
    }

    /** Runs an action when the answer begins, and records how the call ends. */
    private static final class Recorder implements BackendListener {
        private final Runnable mOnHead;
        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();

        Recorder(Runnable onHead) {
            mOnHead = onHead;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            mOnHead.run();
        }

        @Override
        public void onPart(ByteBuffer part) {}

        @Override
        public void onComplete() {
            mOutcome.complete("complete");
        }

        @Override
        public void onFailure(BackendFailure failure) {
            mOutcome.complete(failure.name());
        }
    }
}
