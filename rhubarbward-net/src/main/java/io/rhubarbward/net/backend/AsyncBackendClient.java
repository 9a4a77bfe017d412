package io.rhubarbward.net.backend;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;

/** Sends requests to backend servers with AsyncHttpClient. */
public final class AsyncBackendClient implements BackendClient {
    private static final String ACCEPT = "accept";

    /** A target that needs no encoding in a request line: printable ASCII without spaces. */
    private static final Pattern VALID_TARGET = Pattern.compile("/[!-~]*");

    private final AsyncHttpClient mClient;
    private final TimerService mTimers;
    private final Duration mConnectTimeout;
    private final Map<String, Integer> mGenerationByAddress = new ConcurrentHashMap<>();

    /**
     * Creates a client that calls its listeners on the timer service's thread.
     *
     * @param connectTimeout how long to wait for a connection
     */
    public AsyncBackendClient(
            AsyncHttpClient client, TimerService timers, Duration connectTimeout) {
        mClient = client;
        mTimers = timers;
        mConnectTimeout = connectTimeout;
    }

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        String address = request.server().address();
        Partition partition = new Partition(address, mGenerationByAddress.getOrDefault(address, 0));
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
        if (request.body().hasRemaining()) {
            builder.setBody(request.body());
        }
        BackendExchange exchange =
                new BackendExchange(
                        listener, mTimers, mConnectTimeout, () -> retireConnections(partition));
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
     */
    private record Partition(String address, int generation) {}
}
