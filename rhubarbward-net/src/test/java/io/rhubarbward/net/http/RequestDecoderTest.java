package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the bounds on heads, on requests that are sent ahead and on unread responses. */
final class RequestDecoderTest extends EmbeddedListener {
    /** Guards against a process that ends, as the empty lines of a client are skipped for ever. */
    @Test
    void emptyLinesWithoutEndAreRefused() {
        EmbeddedChannel channel = connect();
        for (int i = 0; i < 200 && channel.isOpen(); i++) {
            send(channel, "\r\n".repeat(10));
        }
        assertThat(received(channel)).startsWith("HTTP/1.1 431 ");
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRefusals).containsExactly(ConnectionRefusal.HEAD_TOO_LARGE);
    }

    /** Guards against a caller that is refused since it ends a body with an empty line. */
    @Test
    void anEmptyLineBetweenRequestsIsNoHead() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        answer(channel, 0);
        send(channel, "\r\n");
        advance(channel, HEAD_MILLIS);
        assertThat(channel.isOpen()).isTrue();
        send(channel, REQUEST);
        assertThat(mRequests).hasSize(2);
    }

    /** Guards against memory that a line without end takes up. */
    @Test
    void aHeadOverItsLimitIsRefusedBeforeItEnds() {
        EmbeddedChannel channel = connect();
        send(channel, "GET / HTTP/1.1\r\na: " + "x".repeat(4000));
        assertThat(received(channel)).startsWith("HTTP/1.1 431 ");
        assertThat(channel.isOpen()).isFalse();
    }

    /** Guards against connections that are kept by heads that never end. */
    @Test
    void aHeadThatDoesNotEndInTimeIsRefused() {
        EmbeddedChannel channel = connect();
        send(channel, "GET / HTTP/1.1\r\nHost");
        advance(channel, HEAD_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        send(channel, ": a");
        advance(channel, 1);
        assertThat(received(channel)).startsWith("HTTP/1.1 408 ");
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRefusals).containsExactly(ConnectionRefusal.HEAD_TIMEOUT);
    }

    /** Guards against a head that is refused for a limit that is no longer in force. */
    @Test
    void aRaisedTimeHoldsForAHeadThatHasBegun() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST.substring(0, 10));
        mLimits = new HttpLimits(1024, 100_000, 10_000, IDLE_MILLIS, 2 * HEAD_MILLIS);
        advance(channel, HEAD_MILLIS);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, HEAD_MILLIS);
        assertThat(received(channel)).startsWith("HTTP/1.1 408 ");
    }

    /** Guards against a time for heads that also ends requests in progress. */
    @Test
    void theTimeForAHeadEndsWithIt() {
        EmbeddedChannel channel = connect();
        send(channel, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1");
        advance(channel, HEAD_MILLIS);
        send(channel, "2");
        advance(channel, HEAD_MILLIS);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
    }

    private static String head(int lines) {
        return "GET / HTTP/1.1\r\nHost: a\r\n" + "a:\r\n".repeat(lines);
    }

    /** Guards against a sum of heads that takes up the heap. */
    @Test
    void headsThatDoNotFitBesideOthersAreRefused() {
        List<EmbeddedChannel> unfinished = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            EmbeddedChannel channel = connect();
            send(channel, head(50));
            unfinished.add(channel);
        }
        EmbeddedChannel refused = connect();
        send(refused, head(50));
        assertThat(received(refused)).contains("\"code\":\"head-memory-full\"");
        assertThat(refused.isOpen()).isFalse();
        EmbeddedChannel ordinary = connect();
        send(ordinary, REQUEST);
        assertThat(mRequests).hasSize(1);
        unfinished.get(0).close();
        EmbeddedChannel later = connect();
        send(later, head(50) + "\r\n");
        assertThat(mRequests).hasSize(2);
    }

    /** Guards against trailers, which are kept like heads, that take up the heap. */
    @Test
    void trailersCountLikeHeads() {
        EmbeddedChannel channel = connect();
        send(
                channel,
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                        + "a:\r\n".repeat(200));
        assertThat(received(channel)).contains("\"code\":\"head-memory-full\"");
        assertThat(mRequests).isEmpty();
    }

    /** Guards against memory of heads that stays reserved after their requests. */
    @Test
    void aServedHeadNoLongerCounts() {
        EmbeddedChannel channel = connect();
        for (int i = 0; i < 10; i++) {
            send(channel, head(100) + "\r\n");
            answer(channel, i);
        }
        assertThat(mRequests).hasSize(10);
    }

    /** Guards against requests sent ahead that are all decoded and kept. */
    @Test
    void oneRequestIsDecodedAtATimeAndReadingPausesAtTheBound() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST + REQUEST);
        assertThat(mRequests).hasSize(1);
        assertThat(channel.config().isAutoRead()).isTrue();
        send(channel, REQUEST.repeat(RequestDecoder.MAX_READ_AHEAD_BYTES / REQUEST.length()));
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(mRequests).hasSize(1);
        answer(channel, 0);
        answer(channel, 1);
        assertThat(mRequests).hasSize(3);
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    /** Guards against an answer that is lost for what its client sent behind the request. */
    @Test
    void whatDoesNotFitBehindARequestEndsTheConnectionAfterItsResponse() {
        mResources.heads().reservation().growTo(MAX_LARGE_BYTES);
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        send(channel, REQUEST.repeat(100));
        assertThat(mRefusals).containsExactly(ConnectionRefusal.PIPELINE_MEMORY_FULL);
        assertThat(channel.isOpen()).isTrue();
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRequests).hasSize(1);
    }

    /** The same for a response whose head has promised to keep the connection. */
    @Test
    void whatDoesNotFitBehindARequestDoesNotCutAResponseThatHasBegun() {
        mResources.heads().reservation().growTo(MAX_LARGE_BYTES);
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mResponses.get(0).begin(200, HeaderFields.of("a", "b"));
        run(channel);
        send(channel, REQUEST.repeat(100));
        mResponses.get(0).finish();
        run(channel);
        assertThat(received(channel)).endsWith("0\r\n\r\n");
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRequests).hasSize(1);
    }

    /** Guards against a body after HEAD, which the caller takes for the next response. */
    @Test
    void aResponseToHeadHasNoBody() {
        EmbeddedChannel channel = connect();
        send(channel, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + REQUEST);
        answer(channel, 0);
        answer(channel, 1);
        String received = received(channel);
        assertThat(received.split("\\{\\}", -1)).hasLength(2);
    }

    /** Guards against a process whose memory goes to clients that read nothing. */
    @Test
    void aConnectionWithTooManyPendingBytesIsClosed() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        mResponses.get(0).begin(200, HeaderFields.of("a", "b"));
        mResponses.get(0).write(ByteBuffer.allocate(MAX_PENDING_BYTES / 2));
        run(channel);
        assertThat(channel.isOpen()).isTrue();
        mResponses.get(0).write(ByteBuffer.allocate(MAX_PENDING_BYTES / 2));
        run(channel);
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRefusals).containsExactly(ConnectionRefusal.RESPONSE_MEMORY_FULL);
    }

    /** Guards against connections that are kept by clients that read nothing. */
    @Test
    void aConnectionWhoseClientReadsNothingIsClosedAfterTheIdleTime() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        mResponses.get(0).begin(200, HeaderFields.of("a", "b"));
        mResponses.get(0).write(ByteBuffer.allocate(100));
        run(channel);
        advance(channel, IDLE_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 1);
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRefusals).containsExactly(ConnectionRefusal.SLOW_READER);
    }

    /** Guards against clients that read slowly and so end the connections of those that do not. */
    @Test
    void aSmallResponseIsNotCutWhileOthersTakeUpTheMemory() {
        mResources.pendingResponses().reservation().growTo(MAX_PENDING_BYTES);
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
        assertThat(channel.isOpen()).isTrue();
        assertThat(mRefusals).isEmpty();
    }

    /** Guards against an idle time that ends within the time that a head has. */
    @Test
    void aConnectionWhoseHeadHasBegunIsNotIdle() {
        EmbeddedChannel channel = connect();
        advance(channel, IDLE_MILLIS - HEAD_MILLIS / 2);
        send(channel, REQUEST.substring(0, 10));
        advance(channel, HEAD_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        send(channel, REQUEST.substring(10));
        assertThat(mRequests).hasSize(1);
    }
}
