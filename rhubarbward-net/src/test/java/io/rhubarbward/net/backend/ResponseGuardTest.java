package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ResponseGuardTest {
    private static final String ID_HEADER = "x-id";

    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(new HttpClientCodec(), new ResponseGuard(ID_HEADER));

    /** The id of the latest response whose head came through. */
    private String mCurrentId = "";

    private String sendRequest(String id, String... headers) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(ID_HEADER, id);
        for (int index = 0; index < headers.length; index += 2) {
            request.headers().set(headers[index], headers[index + 1]);
        }
        mChannel.writeOutbound(request);
        StringBuilder sent = new StringBuilder();
        for (io.netty.buffer.ByteBuf part = mChannel.readOutbound();
                part != null;
                part = mChannel.readOutbound()) {
            sent.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return sent.toString();
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\n"
                + (ID_HEADER + ": " + id + "\r\ncontent-length: ")
                + (body.length() + "\r\n\r\n" + body);
    }

    /** Returns the ids of the responses that came through complete since the last call. */
    private List<String> completeResponseIds() {
        List<String> ids = new ArrayList<>();
        for (Object message = mChannel.readInbound();
                message != null;
                message = mChannel.readInbound()) {
            if (message instanceof HttpResponse head) {
                mCurrentId = head.headers().get(ID_HEADER, "?");
            }
            if (message instanceof LastHttpContent) {
                ids.add(mCurrentId);
            }
        }
        return ids;
    }

    @Test
    void lateResponseToAnEarlierRequestIsDiscarded() {
        sendRequest("r-1");
        receive(response("r-1", "one"));
        sendRequest("r-2");
        receive(response("r-1", "one") + response("r-2", "two"));
        assertThat(completeResponseIds()).containsExactly("r-1", "r-2").inOrder();
        assertThat(mChannel.isActive()).isTrue();
    }

    /** Guards against a body without end in an answer to an earlier request. */
    @Test
    void discardedBytesWithoutEndCloseTheConnection() {
        sendRequest("r-2");
        receive("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\ncontent-length: 99999999\r\n\r\n");
        assertThat(receiveUntilClosed("x".repeat(1_000_000))).isEqualTo(17);
    }

    /** Returns how often the text was received until the connection was closed, 100 at most. */
    private int receiveUntilClosed(String text) {
        int count = 0;
        while (mChannel.isActive() && count < 100) {
            count++;
            try {
                receive(text);
            } catch (TooLongFrameException e) {
                assertThat(mChannel.isActive()).isFalse();
            }
        }
        return count;
    }

    @Test
    void interimResponsesWithoutEndCloseTheConnection() {
        sendRequest("r-1");
        assertThat(receiveUntilClosed("HTTP/1.1 102 Processing\r\n\r\n".repeat(1000)))
                .isLessThan(100);
    }

    @Test
    void unsolicitedResponseClosesTheConnection() {
        sendRequest("r-1");
        receive(response("r-1", "one") + response("r-1", "one"));
        assertThat(completeResponseIds()).containsExactly("r-1");
        assertThat(mChannel.isActive()).isFalse();
    }

    @Test
    void responseWithoutLengthIsCompleteAfterAnOrderlyClose() {
        sendRequest("r-1");
        receive("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\n\r\nbody");
        assertThat(completeResponseIds()).isEmpty();
        mChannel.finish();
        assertThat(completeResponseIds()).containsExactly("r-1");
    }

    @Test
    void responseWithoutLengthIsIncompleteAfterAReset() {
        sendRequest("r-1");
        receive("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\n\r\nbody");
        try {
            mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
            mChannel.finish();
            mChannel.checkException();
        } catch (Exception e) {
            assertThat(e).hasMessageThat().contains("reset");
        }
        assertThat(completeResponseIds()).isEmpty();
    }

    @Test
    void interimResponseIsDiscarded() {
        sendRequest("r-1");
        receive("HTTP/1.1 100 Continue\r\n\r\n" + response("r-1", "one"));
        assertThat(completeResponseIds()).containsExactly("r-1");
    }

    @Test
    void libraryAcceptHeaderIsRemovedAndTheCallersIsKept() {
        assertThat(sendRequest("r-1", "accept", "*/*")).doesNotContain("accept");
        String kept = sendRequest("r-2", "accept", "text/html", LibraryHeaders.KEEP_ACCEPT, "1");
        assertThat(kept).contains("accept: text/html");
        assertThat(kept).doesNotContain(LibraryHeaders.KEEP_ACCEPT);
    }

    @Test
    void idleConnectionIsClosedAtHalfTheServersKeepAliveTimeout() {
        sendRequest("r-1");
        receive(
                "HTTP/1.1 200 OK\r\n"
                        + ID_HEADER
                        + ": r-1\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n");
        mChannel.advanceTimeBy(2400, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mChannel.isActive()).isTrue();
        mChannel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mChannel.isActive()).isFalse();
    }
}
