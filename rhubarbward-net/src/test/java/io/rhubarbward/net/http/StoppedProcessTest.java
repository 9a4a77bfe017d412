package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.rhubarbward.request.ConnectionRefusal;
import org.junit.jupiter.api.Test;

/**
 * Tests time-outs that come due while the process stands still.
 *
 * <p>Each test guards against a client that is refused or cut off although it was in time: what it
 * sent, or what it took, is not yet seen when the timers run.
 */
final class StoppedProcessTest extends EmbeddedListener {
    private static final String POST_HEAD =
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n";

    @Test
    void aRequestOnAnIdleConnectionIsServed() {
        EmbeddedChannel channel = connect();
        standStill(channel, IDLE_MILLIS);
        send(channel, REQUEST);
        advance(channel, 0);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
    }

    @Test
    void aHeadThatHasArrivedIsServed() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST.substring(0, 10));
        standStill(channel, HEAD_MILLIS);
        send(channel, REQUEST.substring(10));
        advance(channel, 0);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
        assertThat(mRefusals).isEmpty();
    }

    @Test
    void aBodyThatHasArrivedIsServed() {
        EmbeddedChannel channel = connect();
        send(channel, POST_HEAD + "1");
        standStill(channel, LIMITS.requestReadMillis());
        send(channel, "2");
        advance(channel, 0);
        answer(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 200 ");
    }

    @Test
    void aClientThatHasReadItsResponseIsNotCutOff() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        begin(channel, 0);
        mClientReadsNothing = false;
        standStill(channel, IDLE_MILLIS);
        channel.flush();
        advance(channel, 0);
        assertThat(channel.isOpen()).isTrue();
        assertThat(mRefusals).isEmpty();
    }

    /** The opposite: a client that was not in time has nothing to gain from the stop. */
    @Test
    void aHeadThatHasNotArrivedIsRefused() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST.substring(0, 10));
        standStill(channel, HEAD_MILLIS);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 0);
        assertThat(received(channel)).startsWith("HTTP/1.1 408 ");
        assertThat(mRefusals).containsExactly(ConnectionRefusal.HEAD_TIMEOUT);
    }
}
