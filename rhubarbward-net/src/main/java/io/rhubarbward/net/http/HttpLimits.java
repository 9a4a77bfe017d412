package io.rhubarbward.net.http;

import io.rhubarbward.config.ListenerSettings;

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
}
