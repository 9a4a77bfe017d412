package io.rhubarbward.net.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.util.Timer;
import java.time.Duration;
import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.jspecify.annotations.Nullable;

/** Creates HTTP clients that never retry a request or follow a redirect. */
public final class HttpClients {
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    /** How long connecting takes at most. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration MAX_CONNECTION_AGE = Duration.ofMinutes(5);

    /** Short, so that connecting to a dead backend server does not use up a request's deadline. */
    public static final Duration SHORT_CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** The client library's defaults, which no client here changes. */
    private static final AsyncHttpClientConfig CODEC_LIMITS = Dsl.config().build();

    private HttpClients() {}

    /** Returns a client with threads of its own and no request timeout by default. */
    public static AsyncHttpClient open(String threadPrefix) {
        return Dsl.asyncHttpClient(
                baseConfig().setThreadPoolName(threadPrefix).setConnectTimeout(CONNECT_TIMEOUT));
    }

    /**
     * Returns a client that runs on the given event loop and has no threads of its own.
     *
     * @param idHeader the header field that pairs responses with requests; see {@link
     *     ResponseGuard}
     */
    public static AsyncHttpClient openOnEventLoop(
            EventLoopGroup loop, Timer timer, String idHeader) {
        return Dsl.asyncHttpClient(
                baseConfig()
                        .setEventLoopGroup(loop)
                        .setNettyTimer(timer)
                        .setConnectTimeout(CONNECT_TIMEOUT)
                        .setUserAgent(null)
                        .setCookieStore(null)
                        .setSslEngineFactory(HttpClients::rejectTls)
                        .setHttpAdditionalChannelInitializer(
                                channel -> addHandlers(channel, idHeader)));
    }

    private static void addHandlers(Channel channel, @Nullable String idHeader) {
        // Tells the end of the input from a close of the connection.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        addPausableReads(channel);
        addResponseGuard(channel, idHeader);
    }

    private static void addResponseGuard(Channel channel, @Nullable String idHeader) {
        AnswerDecoder decoder = AnswerDecoder.of(CODEC_LIMITS);
        channel.pipeline()
                .replace(
                        ChannelManager.HTTP_CLIENT_CODEC,
                        ChannelManager.HTTP_CLIENT_CODEC,
                        decoder.codec());
        channel.pipeline()
                .addBefore(
                        ChannelManager.AHC_HTTP_HANDLER,
                        "answer-guard",
                        new ResponseGuard(idHeader, decoder));
    }

    private static void addPausableReads(Channel channel) {
        channel.pipeline()
                .addBefore(ChannelManager.AHC_HTTP_HANDLER, "pausable-reads", new PausableReads());
    }

    /** Loading TLS would double the startup time, and no server on the event loop uses it. */
    private static SSLEngine rejectTls(AsyncHttpClientConfig config, String host, int port) {
        throw new IllegalArgumentException(
                "https://" + host + ":" + port + ": expected an http URL");
    }

    private static DefaultAsyncHttpClientConfig.Builder baseConfig() {
        return Dsl.config()
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setEnableAutomaticDecompression(false)
                .setCompressionEnforced(false)
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .setPooledConnectionIdleTimeout(POOLED_IDLE_TIMEOUT)
                .setConnectionTtl(MAX_CONNECTION_AGE)
                .setHttpAdditionalChannelInitializer(channel -> addHandlers(channel, null))
                .setTcpNoDelay(true);
    }
}
