package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.standin.fleet.SampleConfig;
import io.rhubarbward.standin.fleet.StoreStandin;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Groups of clients that keep to no limit, in front of a router process with little memory.
 *
 * <p>Each test guards against a router that ends, hangs, or takes up more memory or descriptors
 * than it was given. It checks no times and no share of served requests.
 */
@Tag("process")
@Timeout(240)
final class UntrustedClientsTest {
    /** As many lines as fit into a head of 16,384 bytes with a key. */
    private static final int LEGAL_LINES = 4000;

    private static final String HEADER_LINE = "a:\r\n";
    private static final String HELD_PATH = "/plain/held";
    private static final String LARGE_PATH = "/plain/large";
    private static final int LARGE_BYTES = 16 * 1024 * 1024;
    private static final int PART_BYTES = 128 * 1024;
    private static final int OK = 200;

    /** More connections than the settings file grants descriptors. */
    private static final int MANY_CONNECTIONS = RouterProcess.MAX_DESCRIPTORS + 100;

    /** What the clients of one group send. */
    private enum Kind {
        HEADER_LINES(100, head(HELD_PATH) + HEADER_LINE.repeat(LEGAL_LINES) + "\r\n", 1),
        HEADER_LINES_WITHOUT_END(100, head(HELD_PATH) + HEADER_LINE.repeat(LEGAL_LINES), 1),
        HEAD_OVER_THE_LIMIT(100, HEADER_LINE, 15_000) {
            @Override
            String first() {
                return "GET / HTTP/1.1\r\n";
            }
        },
        HEADER_VALUE_WITHOUT_END(400, "x", 60_000) {
            @Override
            String first() {
                return "GET / HTTP/1.1\r\na: ";
            }
        },
        REQUEST_LINE_WITHOUT_END(400, "x", 60_000) {
            @Override
            String first() {
                return "GET /";
            }
        },
        EMPTY_LINES(50, "\r\n", 1_000_000),
        TRAILER_LINES(100, HEADER_LINE, 15_000) {
            @Override
            String first() {
                return head(HELD_PATH) + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
            }
        },
        PIPELINED_REQUESTS(100, "GET / HTTP/1.1\r\n\r\n", 12_000),
        PIPELINED_REQUESTS_WITH_LARGE_ANSWERS(150, head(LARGE_PATH) + "\r\n", 100);

        private final int mConnections;
        private final String mUnit;
        private final int mTimes;

        Kind(int connections, String unit, int times) {
            mConnections = connections;
            mUnit = unit;
            mTimes = times;
        }

        String first() {
            return "";
        }

        ClientGroup sendTo(int port, int connections) throws IOException {
            return ClientGroup.send(port, connections, first() + mUnit.repeat(mTimes), 1);
        }

        private static String head(String path) {
            return "POST "
                    + path
                    + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer "
                    + SampleConfig.API_KEY
                    + "\r\nRhubarbward-Attempt-Id: r-1\r\n"
                    + "router-forwarded-by: front-a-2\r\nrouter-attempts-left: 1\r\n";
        }
    }

    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoopTimerService mTimers =
            new EventLoopTimerService(mGroup.next(), EventLog.none());
    private final StoreStandin mStore = new StoreStandin(mGroup, DemoPorts.loopback(0), mTimers);
    private final HttpListener mReplica =
            HttpListener.open(
                    mGroup,
                    DemoPorts.loopback(0),
                    mTimers,
                    () -> HttpLimits.INTERNAL,
                    UntrustedClientsTest::serve);
    private RouterProcess mRouter;

    @BeforeEach
    void start(@TempDir Path folder) throws Exception {
        SampleConfig.writeTo(mStore);
        mStore.put(
                "servers",
                "i-1",
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":8,
                 "state":"ready","coldRemainingMs":0,"sequence":1,"born":1}
                """
                        .formatted(SampleConfig.PLAIN_SERVICE, mReplica.port()));
        mRouter = RouterProcess.start(folder, mStore.address());
        mRouter.awaitServed();
    }

    @AfterEach
    void close() throws Exception {
        if (mRouter != null) {
            mRouter.close();
        }
        mReplica.close();
        mStore.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Serves a request as a replica: some are never answered, some with a large body. */
    private static CallerListener serve(CallerRequest request, CallerResponse response) {
        if (request.path().equals(HELD_PATH)) {
            return JsonResponses.NO_OP_LISTENER;
        }
        HeaderFields headers =
                HeaderFields.of(
                                "Rhubarbward-Attempt-Id",
                                request.headers().first("Rhubarbward-Attempt-Id").orElse(""))
                        .with("Rhubarbward-Server-Seal", "seal-i-1")
                        .with("Rhubarbward-Server-Load", "1,0,8");
        if (request.path().equals(LARGE_PATH)) {
            response.begin(OK, headers.with("content-length", Integer.toString(LARGE_BYTES)));
            return new LargeAnswer(response);
        }
        response.begin(OK, headers.with("content-length", "2"));
        response.write(ByteBuffer.wrap("ok".getBytes(StandardCharsets.US_ASCII)));
        response.finish();
        return JsonResponses.NO_OP_LISTENER;
    }

    /** Writes a large body at the pace at which it is read. */
    private static final class LargeAnswer implements CallerListener {
        private final CallerResponse mResponse;
        private int mRemainingBytes = LARGE_BYTES;

        LargeAnswer(CallerResponse response) {
            mResponse = response;
            onWritable(true);
        }

        @Override
        public void onWritable(boolean writable) {
            if (writable && mRemainingBytes > 0) {
                mRemainingBytes -= PART_BYTES;
                mResponse.write(ByteBuffer.allocate(PART_BYTES));
                if (mRemainingBytes == 0) {
                    mResponse.finish();
                }
            }
        }

        @Override
        public void onGone() {
            mRemainingBytes = 0;
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void callers(Kind kind) throws Exception {
        try (ClientGroup clients = kind.sendTo(mRouter.callersPort(), kind.mConnections)) {
            assertWithinLimitsAndServing();
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void clientsAtTheForwardingPort(Kind kind) throws Exception {
        try (ClientGroup clients = kind.sendTo(mRouter.forwardingPort(), kind.mConnections)) {
            assertWithinLimitsAndServing();
        }
    }

    /** Guards against a router that is left without descriptors for its servers. */
    @Test
    void moreConnectionsThanDescriptors() throws Exception {
        try (ClientGroup callers =
                        ClientGroup.send(mRouter.callersPort(), MANY_CONNECTIONS, "", 0);
                ClientGroup routers =
                        ClientGroup.send(mRouter.forwardingPort(), MANY_CONNECTIONS, "", 0)) {
            assertWithinLimitsAndServing();
        }
    }

    /** Guards against a bound that already a single client of a kind makes use of. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void aSingleClient(Kind kind) throws Exception {
        try (ClientGroup caller = kind.sendTo(mRouter.callersPort(), 1);
                ClientGroup router = kind.sendTo(mRouter.forwardingPort(), 1)) {
            assertWithinLimitsAndServing();
        }
    }

    /** Guards against a bound that refuses what the limits of the catalogue allow. */
    @Test
    void aSingleRequestWithManyHeaderLinesIsServed() throws Exception {
        String head =
                Kind.head("/plain/1").replace("router-", "x-")
                        + HEADER_LINE.repeat(LEGAL_LINES)
                        + "Connection: close\r\n\r\n";
        assertThat(head.length()).isAtMost(16_384);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mRouter.callersPort())) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            assertThat(
                            new String(
                                    socket.getInputStream().readAllBytes(),
                                    StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 200 ");
        }
    }

    private void assertWithinLimitsAndServing() throws Exception {
        assertThat(mRouter.alive()).isTrue();
        assertThat(mRouter.openDescriptors()).isAtMost(RouterProcess.MAX_DESCRIPTORS);
        mRouter.awaitServed();
        assertThat(mRouter.alive()).isTrue();
        assertThat(mRouter.maxResidentKb()).isAtMost(RouterProcess.MAX_RESIDENT_KB);
        assertThat(mRouter.openDescriptors()).isAtMost(RouterProcess.MAX_DESCRIPTORS);
    }
}
