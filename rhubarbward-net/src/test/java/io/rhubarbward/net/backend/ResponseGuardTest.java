package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ResponseGuardTest {
    private static final String ID_HEADER = "x-id";

    private final AnswerDecoder mDecoder = new AnswerDecoder(new HttpDecoderConfig());
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(mDecoder.codec(), new ResponseGuard(ID_HEADER, mDecoder));

    /** The id of the latest response whose head came through. */
    private String mCurrentId = "";

    private String sendRequest(String id, String... headers) {
        FullHttpRequest request = request(id);
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

    private static FullHttpRequest request(String id) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(ID_HEADER, id);
        return request;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private void receive(String text) {
        mChannel.writeInbound(bytes(text));
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
            } catch (CorruptedFrameException e) {
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

    /** Guards against a status of an earlier response with the head and body of the next. */
    @ParameterizedTest
    @ValueSource(ints = {3, 12, 18, 19, 22, 28, 31, 37, 51, 53, 54})
    void theBeginningOfASecondResponseClosesTheIdleConnection(int bytes) {
        String second = "HTTP/1.1 500 Fault\r\n" + response("r-1", "one").substring(17);
        for (boolean together : List.of(true, false)) {
            AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig());
            EmbeddedChannel channel =
                    new EmbeddedChannel(decoder.codec(), new ResponseGuard(ID_HEADER, decoder));
            channel.writeOutbound(request("r-1"));
            if (together) {
                channel.writeInbound(bytes(response("r-1", "one") + second.substring(0, bytes)));
            } else {
                channel.writeInbound(bytes(response("r-1", "one")));
                assertThat(channel.isActive()).isTrue();
                channel.writeInbound(bytes(second.substring(0, bytes)));
            }
            assertThat(channel.isActive()).isFalse();
        }
    }

    /** The client offers the connection for reuse when it gets the end of the response. */
    @Test
    void aConnectionWithTheBeginningOfASecondResponseIsClosedBeforeItCanBeReused() {
        List<Boolean> activeAtEnd = new ArrayList<>();
        mChannel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                if (message instanceof LastHttpContent) {
                                    activeAtEnd.add(context.channel().isActive());
                                }
                                ReferenceCountUtil.release(message);
                            }
                        });
        sendRequest("r-1");
        receive(response("r-1", "one") + "HTTP/1.1 500 Fau");
        assertThat(activeAtEnd).containsExactly(false);
    }

    /** Guards against the same while the next request is open already. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 500 Fau", "HTTP/1.1 500 Fault\r\nx-load: 7"})
    void aResponseThatJoinsTheHeadOfAnEarlierOneFailsTheRequest(String beginning) {
        sendRequest("r-1");
        receive(response("r-1", "one"));
        sendRequest("r-2");
        receive(beginning);
        assertThrows(
                CorruptedFrameException.class,
                () -> receive(response("r-2", "two") + response("r-2", "two")));
        assertThat(completeResponseIds()).containsExactly("r-1");
        assertThat(mChannel.isActive()).isFalse();
    }

    /** Guards against a response that is discarded as the body of an earlier one. */
    @Test
    void aResponseWithinADiscardedBodyFailsTheRequest() {
        sendRequest("r-1");
        receive(response("r-1", "one"));
        sendRequest("r-2");
        String cut = "HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\ncontent-length: 900\r\n\r\nHT";
        receive(cut);
        receive(response("r-2", "two").substring(0, 5));
        assertThrows(
                CorruptedFrameException.class, () -> receive(response("r-2", "two").substring(5)));
        assertThat(completeResponseIds()).containsExactly("r-1");
    }

    private static final String EARLIER_CHUNKED =
            "HTTP/1.1 503 No\r\n"
                    + (ID_HEADER + ": r-1\r\ntransfer-encoding: chunked\r\n\r\n")
                    + "3\r\none\r\n0\r\n\r\n";

    static IntStream cutsOfTheEarlierChunkedResponse() {
        return IntStream.range(EARLIER_CHUNKED.indexOf("3\r\n"), EARLIER_CHUNKED.length());
    }

    /** Guards against a response that is read as the trailers of an earlier one, and lost. */
    @ParameterizedTest
    @MethodSource("cutsOfTheEarlierChunkedResponse")
    void aResponseAfterACutChunkedOneFailsTheRequest(int cut) {
        sendRequest("r-1");
        receive(response("r-1", "one"));
        sendRequest("r-2");
        receive(EARLIER_CHUNKED.substring(0, cut));
        assertThrows(Exception.class, () -> receive(response("r-2", "two")));
        assertThat(completeResponseIds()).containsExactly("r-1");
        assertThat(mChannel.isActive()).isFalse();
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
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(completeResponseIds()).containsExactly("r-1");
        assertThat(mChannel.isActive()).isFalse();
    }

    /** Guards against a close after a failed write that ends a body without a length. */
    @Test
    void responseWithoutLengthIsIncompleteAfterACloseOfTheConnectionHere() {
        sendRequest("r-1");
        receive("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\n\r\nbody");
        assertThrows(CorruptedFrameException.class, mChannel::finish);
        assertThat(completeResponseIds()).isEmpty();
    }

    /** Guards against the end of input after a write that took the report of the reset. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseWithoutLengthIsIncompleteIfTheRequestIsNotWritten(boolean writeFailsFirst) {
        AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig());
        HeldWrites writes = new HeldWrites();
        EmbeddedChannel channel =
                new EmbeddedChannel(writes, decoder.codec(), new ResponseGuard(ID_HEADER, decoder));
        List<Object> received = new ArrayList<>();
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                received.add(message);
                                ReferenceCountUtil.release(message);
                            }
                        });
        channel.writeOneOutbound(request("r-1"));
        channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\n\r\nbody"));
        if (writeFailsFirst) {
            writes.fail();
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        } else {
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertThat(channel.isActive()).isTrue();
            writes.fail();
        }
        assertThrows(CorruptedFrameException.class, channel::checkException);
        assertThat(received.stream().anyMatch(LastHttpContent.class::isInstance)).isFalse();
        assertThat(channel.isActive()).isFalse();
    }

    /** Holds what is written until it fails, as a socket with a full buffer that is reset. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> mPromises = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            mPromises.add(promise);
        }

        void complete() {
            mPromises.forEach(ChannelPromise::setSuccess);
        }

        void fail() {
            mPromises.forEach(promise -> promise.setFailure(new IOException("Broken pipe")));
        }
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

    /** Guards against a call that is cut by the idle time after the call before. */
    @Test
    void aReusedConnectionStaysOpenForAsLongAsItsRequestRuns() {
        sendRequest("r-1");
        receive(response("r-1", "one"));
        mChannel.advanceTimeBy(3200, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        sendRequest("r-2");
        mChannel.advanceTimeBy(60, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mChannel.isActive()).isTrue();
        receive(response("r-2", "two"));
        mChannel.advanceTimeBy(3200, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(completeResponseIds()).containsExactly("r-1", "r-2");
        assertThat(mChannel.isActive()).isTrue();
    }

    /** Guards against an answer that fails as a stopped process has not yet written its request. */
    @Test
    void aRequestThatIsWrittenAfterAStopCompletesItsResponse() {
        AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig());
        HeldWrites writes = new HeldWrites();
        EmbeddedChannel channel =
                new EmbeddedChannel(writes, decoder.codec(), new ResponseGuard(ID_HEADER, decoder));
        channel.writeOneOutbound(request("r-1"));
        channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\n\r\nbody"));
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        channel.advanceTimeBy(1500, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        writes.complete();
        channel.advanceTimeBy(1500, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.checkException();
        assertThat(channel.inboundMessages().stream().anyMatch(LastHttpContent.class::isInstance))
                .isTrue();
        channel.releaseInbound();
    }
}
