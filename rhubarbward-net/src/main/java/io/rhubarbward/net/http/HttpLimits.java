package io.rhubarbward.net.http;

import io.netty.handler.codec.http.HttpRequest;
import io.rhubarbward.config.ListenerSettings;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;

/**
 * Limits on the size and duration of the requests at a listener.
 *
 * @param maxHeadBytes maximum size of the request line, and of all header fields together
 * @param maxBodyBytes maximum size of the body
 * @param requestReadMillis maximum time from the end of the head to the end of the body
 * @param idleMillis maximum time that a connection stays open without a request
 */
public record HttpLimits(
        int maxHeadBytes, int maxBodyBytes, int requestReadMillis, int idleMillis) {
    /**
     * Idle timeout of listeners whose settings have none. It is longer than load balancers keep
     * idle connections, so that the balancer closes first.
     */
    private static final int DEFAULT_IDLE_MILLIS = 120_000;

    /** Length of what separates the parts of a request line or of a header field. */
    private static final int SEPARATOR_BYTES = 2;

    /**
     * Generous limits for listeners that callers do not use, and for the callers' listener until
     * its own limits are known.
     */
    public static final HttpLimits INTERNAL =
            new HttpLimits(16_384, 16_777_216, 30_000, DEFAULT_IDLE_MILLIS);

    /** Returns the limits in the settings, with the default idle timeout. */
    public static HttpLimits of(ListenerSettings settings) {
        return new HttpLimits(
                settings.maxHeadBytes(),
                settings.maxBodyBytes(),
                settings.requestReadMillis(),
                DEFAULT_IDLE_MILLIS);
    }

    /** Returns whether neither the request line nor all header fields together are too long. */
    boolean allowHead(HttpRequest head) {
        long lineBytes =
                head.method().name().length()
                        + head.uri().length()
                        + head.protocolVersion().text().length()
                        + SEPARATOR_BYTES;
        long fieldBytes =
                head.headers().entries().stream()
                        .mapToLong(
                                field ->
                                        field.getKey().length()
                                                + field.getValue().length()
                                                + SEPARATOR_BYTES)
                        .sum();
        return Math.max(lineBytes, fieldBytes) <= maxHeadBytes;
    }

    Refusal headTooLarge() {
        return Refusal.of(
                RefusalCode.HEAD_TOO_LARGE, "expected at most " + maxHeadBytes + " bytes");
    }

    Refusal bodyTooLarge() {
        return Refusal.of(
                RefusalCode.BODY_TOO_LARGE, "expected at most " + maxBodyBytes + " bytes");
    }

    Refusal requestTimeout() {
        return Refusal.of(
                RefusalCode.REQUEST_TIMEOUT,
                "expected the whole request within " + requestReadMillis + " ms");
    }
}
