package io.rhubarbward.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.net.platform.PlatformWire;
import io.rhubarbward.net.platform.PlatformWire.ListBody;
import io.rhubarbward.net.platform.PlatformWire.ObjectBody;
import io.rhubarbward.net.platform.PlatformWire.VmBody;
import io.rhubarbward.net.platform.PlatformWire.VmsBody;
import io.rhubarbward.net.platform.PlatformWire.WatchBody;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Stands in for the platform: objects, watches and the VM list over HTTP.
 *
 * <p>{@code PUT /faults} with a {@link PlatformFaults} makes it misbehave; {@code PUT /vms} with a
 * VM list replaces the list.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OBJECTS = "/objects/";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final TimerService mTimers;
    private final MemoryObjectStore mStore;
    private final HttpListener mListener;
    private List<Vm> mVms = List.of();
    private List<Vm> mVisibleVms = List.of();

    /** Listens at the address; port 0 takes a free one. */
    public PlatformStandin(EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mTimers = timers;
        mStore = new MemoryObjectStore(timers);
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Makes the platform misbehave; may be called on any thread. */
    public void faults(PlatformFaults faults) {
        mTimers.execute(() -> mStore.faults(faults));
    }

    /** Replaces the VM list; may be called on any thread. */
    public void vms(List<Vm> vms) {
        mTimers.execute(() -> install(vms));
    }

    private void install(List<Vm> vms) {
        mVms = List.copyOf(vms);
        mTimers.after(
                Duration.ofMillis(mStore.faults().vmListLagMillis()), () -> mVisibleVms = mVms);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        try {
            return route(request, response);
        } catch (IllegalArgumentException | JsonProcessingException e) {
            return JsonResponses.send(response, BAD_REQUEST, "text/plain", String.valueOf(e));
        }
    }

    private CallerListener route(CallerRequest request, CallerResponse response)
            throws JsonProcessingException {
        String path = request.path();
        if (path.startsWith(OBJECTS)) {
            return object(ObjectKey.of(path.substring(OBJECTS.length())), request, response);
        }
        return switch (request.method() + " " + path) {
            case "GET /list" ->
                    answer(
                            mStore.list(QueryText.parameter(request, "prefix", "")),
                            ListBody::of,
                            response);
            case "GET /watch" -> answer(watch(request), WatchBody::of, response);
            case "GET /vms" -> sendVms(response);
            case "PUT /vms" -> {
                VmsBody body = MAPPER.readValue(QueryText.body(request), VmsBody.class);
                install(body.vms().stream().map(VmBody::vm).toList());
                yield JsonResponses.send(response, OK, body);
            }
            case "PUT /faults" -> {
                mStore.faults(MAPPER.readValue(QueryText.body(request), PlatformFaults.class));
                yield JsonResponses.send(response, OK, mStore.faults());
            }
            default -> JsonResponses.send(response, NOT_FOUND, "text/plain", "unknown path");
        };
    }

    private CompletionStage<Either<PlatformFailure, io.rhubarbward.store.WatchBatch>> watch(
            CallerRequest request) {
        return mStore.watch(
                QueryText.parameter(request, "prefix", ""),
                QueryText.number(request, "after", 0),
                Duration.ofMillis(QueryText.number(request, "waitMillis", 0)));
    }

    private CallerListener sendVms(CallerResponse response) {
        return mStore.faults().down()
                ? JsonResponses.send(response, UNAVAILABLE, "text/plain", "down")
                : JsonResponses.send(
                        response, OK, new VmsBody(mVisibleVms.stream().map(VmBody::of).toList()));
    }

    private CallerListener object(ObjectKey key, CallerRequest request, CallerResponse response) {
        long expected = QueryText.number(request, "expect", 0);
        String body = QueryText.body(request);
        return switch (request.method()) {
            case "GET" -> answer(mStore.read(key), ObjectBody::of, response);
            case "PUT" ->
                    answer(
                            expected == 0
                                    ? mStore.create(key, body)
                                    : mStore.update(key, body, expected),
                            ObjectBody::of,
                            response);
            case "DELETE" -> answer(mStore.delete(key, expected), ObjectKey::path, response);
            default -> JsonResponses.send(response, BAD_REQUEST, "text/plain", "unknown method");
        };
    }

    private static <T> CallerListener answer(
            CompletionStage<Either<PlatformFailure, T>> call,
            Function<T, Object> body,
            CallerResponse response) {
        call.thenAccept(
                result ->
                        result.peek(
                                        value ->
                                                JsonResponses.send(
                                                        response,
                                                        OK,
                                                        "application/json",
                                                        PlatformWire.render(body.apply(value))))
                                .peekLeft(failure -> fail(failure, response)));
        return JsonResponses.NO_OP_LISTENER;
    }

    private static void fail(PlatformFailure failure, CallerResponse response) {
        if (failure instanceof PlatformFailure.AnswerLost) {
            response.abort();
        } else if (failure instanceof PlatformFailure.NotFound) {
            JsonResponses.send(response, NOT_FOUND, "text/plain", failure.toString());
        } else if (failure instanceof PlatformFailure.Conflict) {
            JsonResponses.send(response, CONFLICT, "text/plain", failure.toString());
        } else {
            JsonResponses.send(response, UNAVAILABLE, "text/plain", failure.toString());
        }
    }

    @Override
    public void close() {
        mListener.close();
    }
}
