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
 * @param idleMillis maximum time that a connection stays open without a request, or that its client
 *     reads nothing of a pending response
 * @param headMillis maximum time from the first byte of a head to its end
 */
public record HttpLimits(
        int maxHeadBytes, int maxBodyBytes, int requestReadMillis, int idleMillis, int headMillis) {
    /**
     * Idle timeout of listeners whose settings have none. It is longer than load balancers keep
     * idle connections, so that the balancer closes first.
     */
    private static final int DEFAULT_IDLE_MILLIS = 120_000;

    /** Time for a head at listeners whose settings have none. */
    private static final int DEFAULT_HEAD_MILLIS = 30_000;

    /**
     * How many bytes of a head are read, as a multiple of its largest size: the request line may be
     * as long as all fields together, and the shortest field has 5 bytes on the wire, 3 of which
     * count.
     */
    private static final int WIRE_BYTES_FACTOR = 3;

    /** Length of what separates the parts of a request line or of a header field. */
    private static final int SEPARATOR_BYTES = 2;

    /**
     * Generous limits for listeners that callers do not use, and for the callers' listener until
     * its own limits are known.
     */
    public static final HttpLimits INTERNAL =
            new HttpLimits(16_384, 16_777_216, 30_000, DEFAULT_IDLE_MILLIS);

    /** Creates limits with the default time for a head. */
    public HttpLimits(int maxHeadBytes, int maxBodyBytes, int requestReadMillis, int idleMillis) {
        this(maxHeadBytes, maxBodyBytes, requestReadMillis, idleMillis, DEFAULT_HEAD_MILLIS);
    }

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

    /** Returns how many bytes of a head are read, with the empty lines before it. */
    long maxHeadWireBytes() {
        return (long) WIRE_BYTES_FACTOR * maxHeadBytes;
    }

    Refusal headTooLarge() {
        return Refusal.of(
                RefusalCode.HEAD_TOO_LARGE, "expected at most " + maxHeadBytes + " bytes");
    }

    Refusal bodyTooLarge() {
        return Refusal.of(
                RefusalCode.BODY_TOO_LARGE, "expected at most " + maxBodyBytes + " bytes");
    }

    Refusal headTimeout() {
        return Refusal.of(
                RefusalCode.REQUEST_TIMEOUT,
                "expected the whole head within " + headMillis + " ms");
    }

    Refusal requestTimeout() {
        return Refusal.of(
                RefusalCode.REQUEST_TIMEOUT,
                "expected the whole request within " + requestReadMillis + " ms");
    }
}
