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
 * Stands in for a replica of the platform: signs what it answers and counts what it runs.
 *
 * <p>Answers that are asked for under {@code /stream/} come as events, one every few milliseconds.
 */
public final class ReplicaStandin implements AutoCloseable {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int EVENTS = 5;
    private static final Duration BETWEEN_EVENTS = Duration.ofMillis(5);

    private final String mId;
    private final TimerService mTimers;
    private final HttpListener mListener;
    private final List<CallerRequest> mRuns = new CopyOnWriteArrayList<>();

    /** Listens at the address; port 0 takes a free one. */
    public ReplicaStandin(
            String id, EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mId = id;
        mTimers = timers;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns its id. */
    public String id() {
        return mId;
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Returns the entry under which it is listed for the service. */
    public String entry(String service, String zone) {
        return """
               {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":8,
                "state":"ready","coldRemainingMs":0,"sequence":1,"born":1}
               """
                .formatted(service, address(), zone);
    }

    /** Returns what it has run. */
    public List<CallerRequest> runs() {
        return new ArrayList<>(mRuns);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        String id = request.headers().first("Rhubarbward-Attempt-Id").orElse("");
        HeaderFields head = HeaderFields.of("Rhubarbward-Attempt-Id", id);
        String meant = request.headers().first("Rhubarbward-Expect-Instance").orElse(mId);
        if (!meant.equals(mId)) {
            response.begin(MISDIRECTED, head.with("content-length", "0"));
            response.finish();
            return JsonResponses.NO_OP_LISTENER;
        }
        mRuns.add(request);
        HeaderFields signed =
                head.with("Rhubarbward-Server-Seal", "seal-" + mId)
                        .with("Rhubarbward-Server-Load", "1,0,8");
        if (request.path().startsWith("/stream/")) {
            response.begin(OK, signed.with("content-type", "text/event-stream"));
            event(response, 1);
        } else {
            ByteBuffer body = StandardCharsets.UTF_8.encode(mId + " ran " + request.target());
            response.begin(OK, signed.with("content-length", Integer.toString(body.remaining())));
            response.write(body);
            response.finish();
        }
        return JsonResponses.NO_OP_LISTENER;
    }

    private void event(CallerResponse response, int number) {
        response.write(
                StandardCharsets.UTF_8.encode("id: " + number + "\ndata: " + number + "\n\n"));
        if (number == EVENTS) {
            response.finish();
        } else {
            mTimers.after(BETWEEN_EVENTS, () -> event(response, number + 1));
        }
    }

    @Override
    public void close() {
        mListener.close();
    }
}
