package io.rhubarbward.net.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.move.EngineOrders;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to engines and reads them back: {@code POST} and {@code GET /engine/orders}.
 *
 * <p>Each call has a connection of its own, as those of {@link HttpEngineClient}.
 */
public final class HttpEngineOrders implements EngineOrders {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_REPLY_BYTES = 65_536;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final AsyncHttpClient mClient;
    private final TimerService mTimers;

    /** Creates a client whose stages complete on the timer service's thread. */
    public HttpEngineOrders(AsyncHttpClient client, TimerService timers) {
        mClient = client;
        mTimers = timers;
    }

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> give(
            BackendServer server, EngineOrder order) {
        return call(
                mClient.preparePost(url(server))
                        .setHeader("content-type", "application/json")
                        .setBody(toJson(order)));
    }

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> read(BackendServer server) {
        return call(mClient.prepareGet(url(server)));
    }

    private static String url(BackendServer server) {
        return "http://" + server.address() + "/engine/orders";
    }

    private CompletionStage<Either<OrderFailure, EngineOrder>> call(BoundRequestBuilder request) {
        CompletableFuture<Either<OrderFailure, EngineOrder>> result = new CompletableFuture<>();
        request.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setRequestTimeout(TIMEOUT)
                .execute(new BoundedReply(MAX_REPLY_BYTES))
                .toCompletableFuture()
                .whenComplete(
                        (response, error) ->
                                mTimers.execute(() -> result.complete(read(response, error))));
        return result;
    }

    private static Either<OrderFailure, EngineOrder> read(
            @Nullable Response response, @Nullable Throwable error) {
        if (response == null) {
            return Either.left(
                    error instanceof TimeoutException
                            ? OrderFailure.TIMEOUT
                            : OrderFailure.UNREACHABLE);
        }
        return switch (response.getStatusCode()) {
            case 200 -> parse(response.getResponseBody());
            case 404 -> Either.left(OrderFailure.NO_ORDER);
            case 409 -> Either.left(OrderFailure.OLD_FENCE);
            default -> Either.left(OrderFailure.UNREADABLE);
        };
    }

    private static Either<OrderFailure, EngineOrder> parse(String body) {
        try {
            return Either.right(MAPPER.readValue(body, EngineOrder.class));
        } catch (JsonProcessingException e) {
            return Either.left(OrderFailure.UNREADABLE);
        }
    }

    private static String toJson(EngineOrder order) {
        try {
            return MAPPER.writeValueAsString(order);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("engine order cannot be serialized as JSON", e);
        }
    }
}
