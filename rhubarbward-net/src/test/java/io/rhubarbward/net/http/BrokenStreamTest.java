package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.SystemTimerService;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that break off after they have begun, as their callers see them on a socket. */
@Timeout(60)
final class BrokenStreamTest {
    private static final String EVENT = "data: one\n\n";
    private static final HttpLimits LIMITS = new HttpLimits(1024, 2048, 60_000, 60_000);

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final SystemTimerService mTimers =
            new SystemTimerService("broken-stream-test", EventLog.none());
    private final CompletableFuture<CallerResponse> mResponse = new CompletableFuture<>();
    private HeaderFields mHead = HeaderFields.NONE;
    private final HttpListener mListener =
            HttpListener.open(
                    mGroup,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    mTimers,
                    () -> LIMITS,
                    this::serve);

    @AfterEach
    void close() {
        mListener.close();
        mTimers.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        response.begin(200, mHead);
        response.write(StandardCharsets.US_ASCII.encode(EVENT));
        mResponse.complete(response);
        return new CallerListener() {
            @Override
            public void onWritable(boolean writable) {}

            @Override
            public void onGone() {}
        };
    }

    /** What a caller reads up to the end of its connection, and whether it ended by a reset. */
    private record Received(String text, boolean reset) {}

    private Received receive(String request) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mListener.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            while (!bytes.toString(StandardCharsets.US_ASCII).contains(EVENT)) {
                bytes.write(socket.getInputStream().read());
            }
            abortAndAnswerOfAnotherServer(mResponse.get());
            return new Received(readRest(socket, bytes), false);
        } catch (SocketException e) {
            return new Received(bytes.toString(StandardCharsets.US_ASCII), true);
        }
    }

    private void abortAndAnswerOfAnotherServer(CallerResponse response) {
        mTimers.execute(
                () -> {
                    response.abort();
                    response.begin(500, HeaderFields.of("content-length", "5"));
                    response.write(StandardCharsets.US_ASCII.encode("error"));
                    response.finish();
                });
    }

    private static String readRest(Socket socket, ByteArrayOutputStream bytes) throws IOException {
        for (int next = socket.getInputStream().read();
                next >= 0;
                next = socket.getInputStream().read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    private static void assertCut(Received received) {
        String body = received.text().substring(received.text().indexOf("\r\n\r\n") + 4);
        assertWithMessage(received.text()).that(body).doesNotContain("error");
        assertWithMessage(received.text()).that(body).doesNotContain("HTTP/1.1 500");
        assertWithMessage(received.text()).that(body).doesNotContain("\r\n0\r\n");
    }

    /** Guards against a second server's answer, or a last chunk, in a stream that broke off. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void aChunkedStreamThatBreaksOffHasNoLastChunk(String header) throws Exception {
        Received received = receive("GET / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n");
        assertThat(received.text().toLowerCase()).contains("transfer-encoding: chunked");
        assertCut(received);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1.0", "1.1"})
    void aBodyWithLengthThatBreaksOffIsShort(String version) throws Exception {
        mHead = HeaderFields.of("content-length", "400");
        Received received = receive("GET / HTTP/" + version + "\r\nHost: a\r\n\r\n");
        assertThat(received.text().toLowerCase()).contains("content-length: 400");
        assertCut(received);
    }

    /** Guards against a broken stream that looks whole to a caller that knows no chunks. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
    void aStreamToAnHttp10CallerThatBreaksOffEndsWithAReset(String header) throws Exception {
        Received received = receive("GET / HTTP/1.0\r\nHost: a\r\n" + header + "\r\n");
        assertThat(received.text().toLowerCase()).doesNotContain("transfer-encoding");
        assertThat(received.text()).endsWith("\r\n\r\n" + EVENT);
        assertThat(received.reset()).isTrue();
    }
}
