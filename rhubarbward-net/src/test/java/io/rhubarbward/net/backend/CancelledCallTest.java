package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.loop.EventLoopTimer;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls that are cancelled after they were sent, over real sockets. */
@Timeout(60)
final class CancelledCallTest {
    private static final BackendListener IGNORE =
            new BackendListener() {
                @Override
                public void onHead(int status, HeaderFields headers) {}

                @Override
                public void onPart(ByteBuffer part) {}

                @Override
                public void onComplete() {}

                @Override
                public void onFailure(BackendFailure failure) {}
            };

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final AsyncHttpClient mHttp =
            HttpClients.openOnEventLoop(
                    mGroup, new EventLoopTimer(mGroup.next(), EventLog.none()), "x-id");
    private final AsyncBackendClient mClient =
            new AsyncBackendClient(
                    mHttp,
                    new EventLoopTimerService(mGroup.next(), EventLog.none()),
                    Duration.ofSeconds(10));

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // A link that is lost holds a request back; with a plain close after it, the request reaches
    // the server when the link is back, long after its caller has left.
    @Test
    void aCancelledCallResetsItsConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + server.getLocalPort();
            BackendCall call =
                    mClient.send(
                            new BackendRequest(
                                    new BackendServer(
                                            "s",
                                            "orders",
                                            "dc-a",
                                            address,
                                            "1",
                                            BackendServer.Fencing.IGNORES),
                                    "GET",
                                    "/",
                                    HeaderFields.of("x-id", "r-1"),
                                    ByteBuffer.allocate(0)),
                            IGNORE);
            try (Socket connection = server.accept()) {
                assertThat(connection.getInputStream().read()).isAtLeast(0);
                mGroup.execute(call::cancel);
                assertThrows(
                        SocketException.class, () -> connection.getInputStream().readAllBytes());
            }
        }
    }
}
