package io.rhubarbward.net.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.engine.EngineClient;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.jspecify.annotations.Nullable;

/**
 * Fetches load reports from engines over HTTP: {@code GET /engine/load}.
 *
 * <p>Each call has a connection of its own: reports name no call, so that an engine's second answer
 * to one could not be told from the answer to the next.
 */
public final class HttpEngineClient implements EngineClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_REPLY_BYTES = 65_536;
    private static final int OK = 200;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final AsyncHttpClient mClient;
    private final TimerService mTimers;

    /** Creates a client whose stages complete on the timer service's thread. */
    public HttpEngineClient(AsyncHttpClient client, TimerService timers) {
        mClient = client;
        mTimers = timers;
    }

    @Override
    public CompletionStage<Either<EngineFailure, LoadReport>> load(BackendServer server) {
        CompletableFuture<Either<EngineFailure, LoadReport>> result = new CompletableFuture<>();
        mClient.prepareGet("http://" + server.address() + "/engine/load")
                .setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setRequestTimeout(TIMEOUT)
                .execute(new BoundedReply(MAX_REPLY_BYTES))
                .toCompletableFuture()
                .whenComplete(
                        (response, error) ->
                                mTimers.execute(() -> result.complete(read(response, error))));
        return result;
    }

    private static Either<EngineFailure, LoadReport> read(
            @Nullable Response response, @Nullable Throwable error) {
        if (response == null) {
            return Either.left(
                    error instanceof java.util.concurrent.TimeoutException
                            ? EngineFailure.TIMEOUT
                            : EngineFailure.UNREACHABLE);
        }
        if (response.getStatusCode() != OK) {
            return Either.left(EngineFailure.UNREADABLE);
        }
        try {
            return Either.right(MAPPER.readValue(response.getResponseBody(), LoadReport.class));
        } catch (JsonProcessingException e) {
            return Either.left(EngineFailure.UNREADABLE);
        }
    }
}
