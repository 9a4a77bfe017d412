package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.rhubarbward.timer.VirtualTimerService;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the time-outs of a connection in virtual time. */
final class CallerConnectionTest {
    private static final int IDLE_MILLIS = 5000;

    private HttpLimits mLimits = new HttpLimits(1024, 2048, 1000, IDLE_MILLIS);

    /** Guards against a connection that closes before the idle time that callers rely on. */
    @Test
    void aRaisedIdleTimeHoldsForAConnectionThatIsIdleAlready() {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpServerCodec(),
                        new CallerConnection(
                                new VirtualTimerService(),
                                () -> mLimits,
                                HttpResources.ofHeap(),
                                (request, response) -> JsonResponses.send(response, 200, Map.of()),
                                () -> false));
        channel.freezeTime();
        mLimits = new HttpLimits(1024, 2048, 1000, 2 * IDLE_MILLIS);
        advance(channel, IDLE_MILLIS);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, IDLE_MILLIS);
        assertThat(channel.isOpen()).isFalse();
    }

    private static void advance(EmbeddedChannel channel, long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        // One more iteration of the event loop.
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }
}
