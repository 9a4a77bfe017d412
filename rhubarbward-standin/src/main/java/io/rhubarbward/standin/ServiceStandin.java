package io.rhubarbward.standin;

import io.netty.channel.EventLoopGroup;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/**
 * A simulated plain service: echoes each request as JSON and counts the requests per idempotency
 * key.
 *
 * <p>A request to {@code /runs} is not counted and returns the counts.
 */
public final class ServiceStandin implements AutoCloseable {
    private static final int OK = 200;

    private final String mName;
    private final HttpListener mListener;
    private final Map<String, Integer> mRunsByKey = new TreeMap<>();

    /** Starts to listen on the address; port 0 selects a free port. */
    public ServiceStandin(
            String name, EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mName = name;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        if (request.path().equals("/runs")) {
            return JsonResponses.send(response, OK, mRunsByKey);
        }
        String idempotencyKey = request.headers().first("idempotency-key").orElse("none");
        int runs = mRunsByKey.merge(idempotencyKey, 1, Integer::sum);
        return JsonResponses.send(
                response,
                OK,
                Map.of(
                        "server", mName,
                        "method", request.method(),
                        "target", request.target(),
                        "bodyBytes", request.body().remaining(),
                        "runs", runs));
    }

    @Override
    public void close() {
        mListener.close();
    }
}
