package io.rhubarbward.forward;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * The body of an answer that ended a call by its head alone.
 *
 * <p>It is read to its end, so that the connection can be kept, unless it is long or takes long: a
 * faulty server may send it without end. The connection is closed then.
 */
final class DiscardedBody {
    /** Far more than the text of a refusal. */
    private static final int MAX_BYTES = 65_536;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final BackendCall mCall;
    private final TimerService.Subscription mTimeout;
    private long mBytes;

    DiscardedBody(BackendCall call, TimerService timers) {
        mCall = call;
        mTimeout = timers.after(TIMEOUT, call::cancel);
    }

    void onPart(ByteBuffer part) {
        mBytes += part.remaining();
        if (mBytes > MAX_BYTES) {
            onEnd();
            mCall.cancel();
        }
    }

    /** The body has ended, or its connection has. */
    void onEnd() {
        mTimeout.cancel();
    }
}
