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
 * Stands in for a plain service: says what it was asked, and counts runs by idempotency key.
 *
 * <p>{@code GET /runs} returns the counts.
 */
public final class ServiceStandin implements AutoCloseable {
    private static final int OK = 200;

    private final String mName;
    private final HttpListener mListener;
    private final Map<String, Integer> mRuns = new TreeMap<>();

    /** Listens at the address; port 0 takes a free one. */
    public ServiceStandin(
            String name, EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mName = name;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        if (request.path().equals("/runs")) {
            return JsonResponses.send(response, OK, mRuns);
        }
        String key = request.headers().first("idempotency-key").orElse("none");
        int runs = mRuns.merge(key, 1, Integer::sum);
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
