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
import io.rhubarbward.store.WatchBatch;
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
 * A simulated platform: serves an in-memory object store and a VM list over HTTP, as {@link
 * PlatformWire} describes.
 *
 * <p>Two further requests control it: {@code PUT /faults} with a {@link PlatformFaults} replaces
 * the injected faults, and {@code PUT /vms} with a {@link VmsBody} replaces the VM list.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OBJECTS_PATH = "/objects/";
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

    /** Starts to listen on the address; port 0 selects a free port. */
    public PlatformStandin(EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mTimers = timers;
        mStore = new MemoryObjectStore(timers);
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Replaces the faults to inject; may be called on any thread. */
    public void faults(PlatformFaults faults) {
        mTimers.execute(() -> mStore.faults(faults));
    }

    /**
     * Replaces the VM list; may be called on any thread. Clients see the change after {@link
     * PlatformFaults#vmListLagMillis}.
     */
    public void vms(List<Vm> vms) {
        mTimers.execute(() -> replaceVms(vms));
    }

    private void replaceVms(List<Vm> vms) {
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
        if (path.startsWith(OBJECTS_PATH)) {
            return handleObject(
                    ObjectKey.of(path.substring(OBJECTS_PATH.length())), request, response);
        }
        return switch (request.method() + " " + path) {
            case "GET /list" ->
                    sendResult(
                            mStore.list(RequestReader.parameter(request, "prefix", "")),
                            ListBody::of,
                            response);
            case "GET /watch" -> sendResult(watch(request), WatchBody::of, response);
            case "GET /vms" -> sendVms(response);
            case "PUT /vms" -> {
                VmsBody body = MAPPER.readValue(RequestReader.body(request), VmsBody.class);
                replaceVms(body.vms().stream().map(VmBody::vm).toList());
                yield JsonResponses.send(response, OK, body);
            }
            case "PUT /faults" -> {
                mStore.faults(MAPPER.readValue(RequestReader.body(request), PlatformFaults.class));
                yield JsonResponses.send(response, OK, mStore.faults());
            }
            default -> JsonResponses.send(response, NOT_FOUND, "text/plain", "unknown path");
        };
    }

    private CompletionStage<Either<PlatformFailure, WatchBatch>> watch(CallerRequest request) {
        return mStore.watch(
                RequestReader.parameter(request, "prefix", ""),
                RequestReader.number(request, "after", 0),
                Duration.ofMillis(RequestReader.number(request, "waitMillis", 0)));
    }

    private CallerListener sendVms(CallerResponse response) {
        return mStore.faults().down()
                ? JsonResponses.send(response, UNAVAILABLE, "text/plain", "down")
                : JsonResponses.send(
                        response, OK, new VmsBody(mVisibleVms.stream().map(VmBody::of).toList()));
    }

    private CallerListener handleObject(
            ObjectKey key, CallerRequest request, CallerResponse response) {
        long expectedVersion = RequestReader.number(request, "expect", 0);
        String body = RequestReader.body(request);
        return switch (request.method()) {
            case "GET" -> sendResult(mStore.read(key), ObjectBody::of, response);
            case "PUT" ->
                    sendResult(
                            expectedVersion == 0
                                    ? mStore.create(key, body)
                                    : mStore.update(key, body, expectedVersion),
                            ObjectBody::of,
                            response);
            case "DELETE" ->
                    sendResult(mStore.delete(key, expectedVersion), ObjectKey::path, response);
            default -> JsonResponses.send(response, BAD_REQUEST, "text/plain", "unknown method");
        };
    }

    private static <T> CallerListener sendResult(
            CompletionStage<Either<PlatformFailure, T>> storeCall,
            Function<T, Object> toBody,
            CallerResponse response) {
        storeCall.thenAccept(
                result ->
                        result.peek(
                                        value ->
                                                JsonResponses.send(
                                                        response,
                                                        OK,
                                                        "application/json",
                                                        PlatformWire.render(toBody.apply(value))))
                                .peekLeft(failure -> sendFailure(failure, response)));
        return JsonResponses.NO_OP_LISTENER;
    }

    private static void sendFailure(PlatformFailure failure, CallerResponse response) {
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
