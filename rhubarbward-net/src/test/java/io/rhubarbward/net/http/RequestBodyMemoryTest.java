package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the bound on the bodies of all requests, on connections in virtual time. */
final class RequestBodyMemoryTest {
    private static final int READ_TIMEOUT_MILLIS = 15_000;
    private static final int IDLE_MILLIS = 5000;
    private static final int SMALL_BODY_BYTES = 100;
    private static final int MAX_BODY_BYTES = 4000;
    private static final HttpLimits LIMITS =
            new HttpLimits(1024, MAX_BODY_BYTES, READ_TIMEOUT_MILLIS, IDLE_MILLIS);
    private static final String REFUSED = "\"code\":\"body-memory-full\"";

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RequestBodyMemory mMemory =
            new RequestBodyMemory(SMALL_BODY_BYTES, 5000, 5000 + 2 * SMALL_BODY_BYTES);
    private final List<CallerRequest> mServed = new ArrayList<>();
    private final List<CallerResponse> mHeld = new ArrayList<>();

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        mServed.add(request);
        if (request.target().equals("/held")) {
            mHeld.add(response);
            return new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };
        }
        return JsonResponses.send(response, 200, Map.of("target", request.target()));
    }

    private EmbeddedChannel connect() {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpServerCodec(),
                        new CallerConnection(
                                mTimers,
                                () -> LIMITS,
                                HttpResources.ofHeap(mMemory),
                                this::serve,
                                () -> false));
        channel.freezeTime();
        return channel;
    }

    private void send(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
        mTimers.runDue();
        channel.runPendingTasks();
    }

    private static String received(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return text.toString();
    }

    private static String head(String target, int bodyBytes) {
        return "POST " + target + " HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private static String post(String target, int bodyBytes) {
        return head(target, bodyBytes) + "x".repeat(bodyBytes);
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
    }

    /** Guards against unfinished bodies that fill the heap, so that no request is answered. */
    @Test
    void aBodyThatDoesNotFitBesideUnfinishedOnesIsRefusedAtOnce() {
        EmbeddedChannel slow = connect();
        send(slow, head("/slow", 4000) + "x".repeat(10));
        EmbeddedChannel refused = connect();
        send(refused, head("/late", 1001));
        String refusal = received(refused);
        assertThat(refusal).startsWith("HTTP/1.1 503 ");
        assertThat(refusal).contains("retry-after: 1\r\n");
        assertThat(refusal).contains(REFUSED);
        assertThat(refusal).contains("\"run\":\"not-run\"");
        send(slow, "x".repeat(3990));
        assertThat(received(slow)).contains("\"/slow\"");
        assertThat(mServed).hasSize(1);
        assertThat(mServed.get(0).body().remaining()).isEqualTo(4000);
    }

    /** Guards against small requests that suffer from large uploads. */
    @Test
    void smallBodiesFitWhenLargeOnesTakeAllOfTheirMemory() {
        EmbeddedChannel slow = connect();
        send(slow, head("/slow", 4000));
        send(connect(), head("/slow", 1000));
        EmbeddedChannel small = connect();
        send(small, post("/small", SMALL_BODY_BYTES));
        assertThat(received(small)).contains("\"/small\"");
        send(small, post("/large", SMALL_BODY_BYTES + 1));
        assertThat(received(small)).contains(REFUSED);
    }

    /** Guards against small bodies without a bound on their sum. */
    @Test
    void smallBodiesHaveABoundToo() {
        send(connect(), head("/slow", 4000));
        send(connect(), head("/slow", 1000));
        send(connect(), head("/slow", SMALL_BODY_BYTES));
        send(connect(), head("/slow", SMALL_BODY_BYTES));
        EmbeddedChannel refused = connect();
        send(refused, head("/late", 1));
        assertThat(received(refused)).contains(REFUSED);
        EmbeddedChannel empty = connect();
        send(empty, "GET /empty HTTP/1.1\r\n\r\n");
        assertThat(received(empty)).contains("\"/empty\"");
    }

    /** Guards against bodies that count no longer while their requests run and keep them. */
    @Test
    void aBodyCountsUntilItsRequestIsAnswered() {
        EmbeddedChannel running = connect();
        send(running, post("/held", 4000));
        EmbeddedChannel other = connect();
        send(other, post("/other", 4000));
        assertThat(received(other)).contains(REFUSED);
        JsonResponses.send(mHeld.get(0), 200, Map.of());
        running.runPendingTasks();
        send(other, post("/other", 4000));
        assertThat(received(other)).contains("\"/other\"");
    }

    /** Guards against a connection that closes and leaves less room for good. */
    @Test
    void theBodyOfACallerThatLeavesNoLongerCounts() {
        EmbeddedChannel gone = connect();
        send(gone, head("/gone", 4000) + "x".repeat(10));
        gone.close();
        EmbeddedChannel other = connect();
        send(other, post("/other", 4000));
        assertThat(received(other)).contains("\"/other\"");
    }

    /** Guards against bodies of unknown length that get by the bound. */
    @Test
    void aBodyInChunksIsRefusedWhenItNoLongerFits() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel chunked = connect();
        send(chunked, "POST /chunked HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(900));
        assertThat(received(chunked)).isEmpty();
        send(chunked, chunk(200));
        assertThat(received(chunked)).contains(REFUSED);
    }

    /** Guards against a refusal that the caller loses, or whose body is read as a request. */
    @Test
    void theRestOfARefusedBodyIsDroppedAndTheNextRequestIsServed() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel refused = connect();
        send(refused, head("/late", 2000) + "x".repeat(500));
        assertThat(received(refused)).contains(REFUSED);
        refused.advanceTimeBy(IDLE_MILLIS, TimeUnit.MILLISECONDS);
        refused.runScheduledPendingTasks();
        send(refused, "x".repeat(1500) + post("/next", 10));
        assertThat(received(refused)).contains("\"/next\"");
        assertThat(mServed.stream().map(CallerRequest::target)).containsExactly("/next");
    }

    /** Guards against a refusal that is lost when the rest of its body cannot be decoded. */
    @Test
    void aRefusalIsSentAlsoIfTheRestOfItsBodyIsMalformed() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel refused = connect();
        String chunk = Integer.toHexString(2000) + "\r\n" + "x".repeat(2000) + "\r\n";
        send(
                refused,
                "POST /broken HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "zz\r\n");
        assertThat(received(refused)).contains(REFUSED);
        assertThat(refused.isOpen()).isFalse();
        assertThat(mServed).isEmpty();
    }

    /** Guards against a refused body that holds its connection open without end. */
    @Test
    void aRefusedBodyThatDoesNotEndInTimeEndsItsConnection() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel refused = connect();
        send(refused, head("/late", 2000));
        refused.advanceTimeBy(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        refused.runScheduledPendingTasks();
        // What has arrived in time is read before the connection is closed.
        assertThat(refused.isOpen()).isTrue();
        refused.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        refused.runScheduledPendingTasks();
        assertThat(refused.isOpen()).isFalse();
    }

    /** Guards against a caller that is told to send a body which is refused. */
    @Test
    void aCallerThatAsksFirstIsNotToldToContinue() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel asking = connect();
        send(asking, "POST /late HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n");
        assertThat(received(asking)).startsWith("HTTP/1.1 503 ");
        assertThat(asking.isOpen()).isFalse();
    }

    /** Guards against pipelined requests that take the dropped body's place. */
    @Test
    void aRefusedBodyThatWasReadAheadIsDropped() {
        send(connect(), head("/slow", 4000));
        EmbeddedChannel pipelined = connect();
        send(pipelined, post("/1", 10) + post("/late", 2000) + post("/3", 10));
        pipelined.runPendingTasks();
        mTimers.runDue();
        pipelined.runPendingTasks();
        mTimers.runDue();
        pipelined.runPendingTasks();
        String answers = received(pipelined);
        assertThat(answers).contains("\"/1\"");
        assertThat(answers).contains(REFUSED);
        assertThat(answers).contains("\"/3\"");
    }
}
