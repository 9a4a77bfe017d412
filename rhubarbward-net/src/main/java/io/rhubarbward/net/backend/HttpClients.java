package io.rhubarbward.net.backend;

import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/** Makes HTTP clients that never send a request twice by themselves. */
public final class HttpClients {
    private static final Duration NONE = Duration.ofMillis(-1);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POOLED_IDLE = Duration.ofSeconds(15);
    private static final Duration CONNECTION_AGE = Duration.ofMinutes(5);

    private HttpClients() {}

    /** Returns a client whose time limits are its user's own. */
    public static AsyncHttpClient open(String threadPrefix) {
        DefaultAsyncHttpClientConfig.Builder config =
                Dsl.config()
                        .setThreadPoolName(threadPrefix)
                        .setMaxRequestRetry(0)
                        .setFollowRedirect(false)
                        .setEnableAutomaticDecompression(false)
                        .setCompressionEnforced(false)
                        .setConnectTimeout(CONNECT_TIMEOUT)
                        .setRequestTimeout(NONE)
                        .setReadTimeout(NONE)
                        .setPooledConnectionIdleTimeout(POOLED_IDLE)
                        .setConnectionTtl(CONNECTION_AGE)
                        .setTcpNoDelay(true);
        return Dsl.asyncHttpClient(config);
    }
}
