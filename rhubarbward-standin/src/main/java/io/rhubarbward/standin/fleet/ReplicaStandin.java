package io.rhubarbward.standin.fleet;

import io.netty.channel.EventLoopGroup;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A simulated replica of a service on the platform: records the requests that it handles and marks
 * its answers to them with the platform's seal and load headers.
 *
 * <p>A request whose {@code Rhubarbward-Expect-Instance} names another replica is refused with 421.
 * A request under {@code /stream/} is answered with server-sent events, one every 5 ms.
 */
public final class ReplicaStandin implements AutoCloseable {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int EVENTS_PER_STREAM = 5;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(5);

    private final String mId;
    private final TimerService mTimers;
    private final HttpListener mListener;
    private final List<CallerRequest> mHandledRequests = new CopyOnWriteArrayList<>();

    /** Starts to listen on the address; port 0 selects a free port. */
    public ReplicaStandin(
            String id, EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mId = id;
        mTimers = timers;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns the replica's instance id, which names its server object in the store. */
    public String id() {
        return mId;
    }

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Returns the spec, as JSON, of the replica's server object in the store. */
    public String serverSpec(String service, String zone) {
        return serverSpec(service, address(), zone);
    }

    /** Returns the spec, as JSON, of a server object in the store. */
    static String serverSpec(String service, String address, String zone) {
        return """
               {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":8,
                "state":"ready","coldRemainingMs":0,"sequence":1,"born":1}
               """
                .formatted(service, address, zone);
    }

    /** Returns the requests handled so far, oldest first, without those refused with 421. */
    public List<CallerRequest> handledRequests() {
        return new ArrayList<>(mHandledRequests);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        String attemptId = request.headers().first("Rhubarbward-Attempt-Id").orElse("");
        HeaderFields attemptHeader = HeaderFields.of("Rhubarbward-Attempt-Id", attemptId);
        String expectedId = request.headers().first("Rhubarbward-Expect-Instance").orElse(mId);
        if (!expectedId.equals(mId)) {
            response.begin(MISDIRECTED, attemptHeader.with("content-length", "0"));
            response.finish();
            return JsonResponses.NO_OP_LISTENER;
        }
        mHandledRequests.add(request);
        HeaderFields sealedHeaders =
                attemptHeader
                        .with("Rhubarbward-Server-Seal", "seal-" + mId)
                        .with("Rhubarbward-Server-Load", "1,0,8,120");
        if (request.path().startsWith("/stream/")) {
            response.begin(OK, sealedHeaders.with("content-type", "text/event-stream"));
            sendEvent(response, 1);
        } else {
            ByteBuffer body = StandardCharsets.UTF_8.encode(mId + " ran " + request.target());
            response.begin(
                    OK, sealedHeaders.with("content-length", Integer.toString(body.remaining())));
            response.write(body);
            response.finish();
        }
        return JsonResponses.NO_OP_LISTENER;
    }

    private void sendEvent(CallerResponse response, int number) {
        response.write(
                StandardCharsets.UTF_8.encode("id: " + number + "\ndata: " + number + "\n\n"));
        if (number == EVENTS_PER_STREAM) {
            response.finish();
        } else {
            mTimers.after(EVENT_INTERVAL, () -> sendEvent(response, number + 1));
        }
    }

    @Override
    public void close() {
        mListener.close();
    }
}
