package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests that only clients that read nothing of a pending response are cut off. */
final class PendingResponseGuardTest extends EmbeddedListener {
    /** The latest time at which callers reuse an idle connection. */
    private static final int LATEST_REUSE_MILLIS = IDLE_MILLIS * 4 / 5;

    private EmbeddedChannel connectAndServeOne() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
        return channel;
    }

    /** Guards against the reset of a request that runs when the check for the response is due. */
    @Test
    void aRequestThatRunsIsNotCutForTheResponseBeforeIt() {
        EmbeddedChannel channel = connectAndServeOne();
        advance(channel, LATEST_REUSE_MILLIS);
        send(channel, REQUEST);
        advance(channel, IDLE_MILLIS);
        assertThat(mRefusals).isEmpty();
        answer(channel, 1);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
        assertThat(channel.isOpen()).isTrue();
    }

    /** Guards against an idle connection that is reset, or closed before callers stop using it. */
    @Test
    void anIdleConnectionIsClosedAsIdleAndNotAsASlowReader() {
        EmbeddedChannel channel = connectAndServeOne();
        for (int i = 1; i <= 5; i++) {
            advance(channel, LATEST_REUSE_MILLIS);
            assertThat(channel.isOpen()).isTrue();
            send(channel, REQUEST);
            answer(channel, i);
        }
        advance(channel, IDLE_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 1);
        assertThat(channel.isOpen()).isFalse();
        assertThat(mRefusals).isEmpty();
    }

    /** Guards against the reset of a response whose server pauses for longer than the idle time. */
    @Test
    void aPauseWithinAResponseIsNotTheClients() {
        EmbeddedChannel channel = connectAndServeOne();
        send(channel, REQUEST);
        begin(channel, 1);
        advance(channel, 2 * IDLE_MILLIS);
        assertThat(mRefusals).isEmpty();
        finish(channel, 1);
        assertThat(received(channel)).endsWith("0\r\n\r\n");
        assertThat(channel.isOpen()).isTrue();
    }

    /** Guards against the reset of a request whose body is awaited after an interim response. */
    @Test
    void aRequestThatRunsIsNotCutForAnInterimResponse() {
        EmbeddedChannel channel = connect();
        send(
                channel,
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                        + "Expect: 100-continue\r\n\r\n");
        send(channel, "1");
        advance(channel, 2 * IDLE_MILLIS);
        assertThat(mRefusals).isEmpty();
        answer(channel, 0);
        assertThat(received(channel)).contains("HTTP/1.1 200 ");
    }

    /** Guards against a client that gets less than the idle time to begin to read a response. */
    @Test
    void theTimeToReadBeginsWithThePendingResponse() {
        EmbeddedChannel channel = connectAndServeOne();
        send(channel, REQUEST);
        advance(channel, IDLE_MILLIS - 1);
        mClientReadsNothing = true;
        begin(channel, 1);
        advance(channel, IDLE_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 1);
        assertThat(mRefusals).containsExactly(ConnectionRefusal.SLOW_READER);
    }

    /** The same after a response that was pending for a while. */
    @Test
    void theTimeToReadBeginsAnewOnceAllWasRead() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        begin(channel, 0);
        advance(channel, IDLE_MILLIS / 3);
        mClientReadsNothing = false;
        finish(channel, 0);
        send(channel, REQUEST);
        advance(channel, IDLE_MILLIS / 3);
        mClientReadsNothing = true;
        begin(channel, 1);
        advance(channel, IDLE_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 1);
        assertThat(mRefusals).containsExactly(ConnectionRefusal.SLOW_READER);
    }

    /** Guards against a client that is cut off by a limit that is no longer in force. */
    @Test
    void aRaisedIdleTimeHoldsForAPendingResponse() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        begin(channel, 0);
        mLimits = new HttpLimits(1024, 100_000, 10_000, 2 * IDLE_MILLIS, HEAD_MILLIS);
        advance(channel, IDLE_MILLIS);
        // Each advance adds one iteration, so that the raised idle time ends exactly here.
        advance(channel, IDLE_MILLIS - 2);
        assertThat(mRefusals).isEmpty();
        advance(channel, 1);
        assertThat(mRefusals).containsExactly(ConnectionRefusal.SLOW_READER);
    }

    /** Guards against clients that read nothing and so end the responses of those that do. */
    @Test
    @Tag("known-red")
    void aClientThatReadsAtOnceIsNotCutWhileOthersTakeUpTheMemory() {
        mResources.pendingResponses().reservation().growTo(MAX_PENDING_BYTES);
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        onEventLoop(
                channel,
                () -> {
                    mResponses.get(0).begin(200, HeaderFields.of("a", "b"));
                    mResponses.get(0).write(ByteBuffer.allocate(MAX_PENDING_BYTES / 5));
                    mResponses.get(0).finish();
                });
        assertThat(mRefusals).isEmpty();
        assertThat(received(channel)).endsWith("0\r\n\r\n");
    }
}
