package io.rhubarbward.net.backend;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;
import org.jspecify.annotations.Nullable;

/** Sends requests to backend servers with AsyncHttpClient. */
public final class AsyncBackendClient implements BackendClient {
    private static final String ACCEPT = "accept";

    /** Marks the partitions whose connections serve any request. */
    private static final long SHARED = 0;

    /** A target that needs no encoding in a request line: printable ASCII without spaces. */
    private static final Pattern VALID_TARGET = Pattern.compile("/[!-~]*");

    private final AsyncHttpClient mClient;
    private final TimerService mTimers;
    private final Duration mConnectTimeout;
    private final @Nullable String mIdHeader;
    private final Map<String, Integer> mGenerationByAddress = new ConcurrentHashMap<>();
    private final RefusedRequests mRefusedRequests = new RefusedRequests();
    private final AtomicLong mSeparateConnections = new AtomicLong();

    /**
     * Creates a client for servers whose responses name no request.
     *
     * @param timers calls the listeners on its thread
     * @param connectTimeout how long to wait for a connection
     */
    public AsyncBackendClient(
            AsyncHttpClient client, TimerService timers, Duration connectTimeout) {
        this(client, timers, connectTimeout, null);
    }

    /**
     * Creates a client that never sends a request on a connection that refused the same one before.
     *
     * @param timers calls the listeners on its thread
     * @param connectTimeout how long to wait for a connection
     * @param idHeader the header field that names a request in it and in the response to it
     */
    public AsyncBackendClient(
            AsyncHttpClient client,
            TimerService timers,
            Duration connectTimeout,
            @Nullable String idHeader) {
        mClient = client;
        mTimers = timers;
        mConnectTimeout = connectTimeout;
        mIdHeader = idHeader;
    }

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        String address = request.server().address();
        Optional<String> id = Optional.ofNullable(mIdHeader).flatMap(request.headers()::first);
        Partition partition =
                new Partition(
                        address,
                        mGenerationByAddress.getOrDefault(address, 0),
                        id.filter(known -> mRefusedRequests.contains(address, known))
                                .map(refused -> mSeparateConnections.incrementAndGet())
                                .orElse(SHARED));
        RequestBuilder builder =
                new RequestBuilder(request.method(), true)
                        .setChannelPoolPartitioning((uri, host, proxy) -> partition);
        request.headers()
                .fields()
                .forEach(
                        field -> {
                            builder.addHeader(field.name(), field.value());
                            if (field.name().equalsIgnoreCase(ACCEPT)) {
                                builder.setHeader(LibraryHeaders.KEEP_ACCEPT, "1");
                            }
                        });
        if (partition.separate() != SHARED) {
            builder.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (request.body().hasRemaining()) {
            builder.setBody(request.body());
        }
        BackendExchange exchange =
                new BackendExchange(
                        listener,
                        mTimers,
                        mConnectTimeout,
                        new ConnectionUser(partition, id.orElse(null)));
        try {
            exchange.attach(
                    mClient.executeRequest(
                            builder.setUri(uri(address, request.target())).build(), exchange));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // The target or the address is invalid, so that nothing has been sent.
            exchange.onThrowable(e);
        }
        return exchange;
    }

    /** Returns a URI with the whole target as its path, which is sent unchanged. */
    private static Uri uri(String address, String target) {
        if (!VALID_TARGET.matcher(target).matches()) {
            throw new IllegalArgumentException(
                    "target " + target + ": expected a path of printable ASCII without spaces");
        }
        int colon = address.lastIndexOf(':');
        return new Uri(
                "http",
                null,
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                target,
                null,
                null);
    }

    @Override
    public void evictIdleConnections(String address) {
        mGenerationByAddress.merge(address, 1, Integer::sum);
    }

    /**
     * Stops the reuse of all connections in the partition; the pool closes them at its idle
     * timeout. Flushing the pool's partition instead would break the pool's accounting of the
     * connections that are in use.
     */
    private void retireConnections(Partition partition) {
        mGenerationByAddress.merge(
                partition.address(),
                partition.generation() + 1,
                (current, next) -> Math.max(current, next));
    }

    /**
     * The key of a group of pooled connections that are interchangeable.
     *
     * @param address the server's host and port
     * @param generation incremented to stop the reuse of the address's older connections
     * @param separate {@link #SHARED}, or another number for a connection of one request alone
     */
    private record Partition(String address, int generation, long separate) {}

    /** Notes what a call finds out about the connections that it could use. */
    private final class ConnectionUser implements BackendExchange.ConnectionListener {
        private final Partition mPartition;
        private final @Nullable String mId;

        ConnectionUser(Partition partition, @Nullable String id) {
            mPartition = partition;
            mId = id;
        }

        @Override
        public void onExpired() {
            retireConnections(mPartition);
        }

        @Override
        public boolean onErrorAnswer(Channel connection) {
            return mId == null || mRefusedRequests.record(mPartition.address(), connection, mId);
        }
    }
}
