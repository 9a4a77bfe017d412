package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests invalid, oversized, incomplete, abandoned and pipelined requests over real sockets. */
final class HttpListenerTest {
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    private static final int IDLE_MILLIS = 60_000;
    private static final HttpLimits LONG_READ_TIMEOUT =
            new HttpLimits(1024, 2048, READ_TIMEOUT_MILLIS, IDLE_MILLIS);
    private static final HttpLimits SHORT_READ_TIMEOUT = new HttpLimits(1024, 2048, 1, IDLE_MILLIS);

    private volatile HttpLimits mLimits = LONG_READ_TIMEOUT;
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final SystemTimerService mTimers =
            new SystemTimerService("listener-test", EventLog.none());
    private final List<String> mServedTargets = new CopyOnWriteArrayList<>();
    private final CountDownLatch mConnectionClosed = new CountDownLatch(1);
    private final HttpListener mListener =
            HttpListener.open(
                    mGroup,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    mTimers,
                    () -> mLimits,
                    this::serve);

    @AfterEach
    void close() {
        mListener.close();
        mTimers.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        mServedTargets.add(request.target());
        if (request.target().equals("/never")) {
            return new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {
                    mConnectionClosed.countDown();
                }
            };
        }
        return JsonResponses.send(response, 200, Map.of("target", request.target()));
    }

    @Test
    void malformedRequestIsRefused() throws IOException {
        assertThat(responseTo("nonsense\r\n\r\n")).contains("\"code\":\"malformed-request\"");
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void oversizedHeadIsRefused() throws IOException {
        String padding = "x".repeat(2000);
        assertThat(responseTo("GET / HTTP/1.1\r\nHost: a\r\nPad: " + padding + "\r\n\r\n"))
                .contains("\"code\":\"head-too-large\"");
        assertThat(responseTo("GET /" + padding + " HTTP/1.1\r\nHost: a\r\n\r\n"))
                .contains("\"code\":\"head-too-large\"");
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void oversizedContentLengthIsRefused() throws IOException {
        assertThat(responseTo("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n"))
                .contains("\"code\":\"body-too-large\"");
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void oversizedChunkedBodyIsRefused() throws IOException {
        String chunk = "400\r\n" + "x".repeat(1024) + "\r\n";
        String request =
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk
                        + chunk
                        + chunk;
        assertThat(responseTo(request)).contains("\"code\":\"body-too-large\"");
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void incompleteBodyIsRefusedAfterTheReadTimeout() throws IOException {
        mLimits = SHORT_READ_TIMEOUT;
        assertThat(responseTo("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"))
                .contains("\"code\":\"request-timeout\"");
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void requestIsNotHandledIfTheCallerHalfClosesBeforeTheBodyEnds() throws IOException {
        try (Socket socket = open("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")) {
            socket.shutdownOutput();
            assertThat(socket.getInputStream().readAllBytes()).isEmpty();
        }
        assertThat(mServedTargets).isEmpty();
    }

    @Test
    void handlerIsNotifiedWhenTheCallerDisconnectsBeforeTheResponse() throws Exception {
        open("GET /never HTTP/1.1\r\nHost: a\r\n\r\n").close();
        assertThat(mConnectionClosed.await(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String responses =
                responseTo(
                        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
                                + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assertThat(mServedTargets).containsExactly("/1", "/2", "/3").inOrder();
        assertThat(responses.indexOf("\"/1\"")).isLessThan(responses.indexOf("\"/2\""));
        assertThat(responses.indexOf("\"/2\"")).isLessThan(responses.indexOf("\"/3\""));
    }

    /** Guards against an open connection that refuses what a new configuration allows. */
    @Test
    void raisedLimitsHoldForTheNextRequestOnAnOpenConnection() throws IOException {
        try (Socket socket = open("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")) {
            readUntil(socket, "\"/1\"");
            mLimits = new HttpLimits(4096, 8192, READ_TIMEOUT_MILLIS, IDLE_MILLIS);
            write(
                    socket,
                    "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n"
                            + "x".repeat(4000)
                            + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nPad: "
                            + "x".repeat(2000)
                            + "\r\n\r\n");
            socket.getInputStream().readAllBytes();
        }
        assertThat(mServedTargets).containsExactly("/1", "/2", "/3").inOrder();
    }

    /** Guards against an open connection that accepts what a new configuration forbids. */
    @Test
    void loweredLimitsHoldForTheNextRequestOnAnOpenConnection() throws IOException {
        assertThat(afterLowerLimits("GET /" + "x".repeat(600) + " HTTP/1.1\r\nHost: a\r\n\r\n"))
                .contains("\"code\":\"head-too-large\"");
        assertThat(afterLowerLimits("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n"))
                .contains("\"code\":\"body-too-large\"");
    }

    private String afterLowerLimits(String request) throws IOException {
        mLimits = LONG_READ_TIMEOUT;
        try (Socket socket = open("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")) {
            readUntil(socket, "\"/1\"");
            mLimits = new HttpLimits(512, 512, READ_TIMEOUT_MILLIS, IDLE_MILLIS);
            write(socket, request);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void readUntil(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().contains(end)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("expected " + end + " in " + read);
            }
            read.append((char) next);
        }
    }

    private static void write(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    private String responseTo(String request) throws IOException {
        try (Socket socket = open(request)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private Socket open(String request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mListener.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        write(socket, request);
        return socket;
    }
}
