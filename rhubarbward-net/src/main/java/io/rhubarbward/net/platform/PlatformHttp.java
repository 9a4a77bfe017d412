package io.rhubarbward.net.platform;

import io.rhubarbward.net.backend.BoundedReply;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.PlatformFailure.Reason;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.jspecify.annotations.Nullable;

/** Sends requests to the platform and maps errors to {@link PlatformFailure}s. */
final class PlatformHttp {
    /** Several times the largest value that the platform's store keeps. */
    private static final long MAX_REPLY_BYTES = 8_388_608;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final AsyncHttpClient mClient;
    private final String mBaseUrl;
    private final TimerService mTimers;

    PlatformHttp(AsyncHttpClient client, String address, TimerService timers) {
        mClient = client;
        mBaseUrl = "http://" + address;
        mTimers = timers;
    }

    BoundRequestBuilder prepare(String method, String path) {
        return mClient.prepare(method, mBaseUrl + path);
    }

    /**
     * Sends the request; the stage completes on the timer service's thread.
     *
     * @param key the requested object; null when the request names none
     * @param parser parses the body of a 200 response
     */
    <T> CompletionStage<Either<PlatformFailure, T>> call(
            BoundRequestBuilder request,
            @Nullable ObjectKey key,
            Duration timeout,
            Function<String, Either<PlatformFailure, T>> parser) {
        CompletableFuture<Either<PlatformFailure, T>> stage = new CompletableFuture<>();
        request.setRequestTimeout(timeout)
                .execute(new BoundedReply(MAX_REPLY_BYTES))
                .toCompletableFuture()
                .whenComplete(
                        (response, error) -> {
                            Either<PlatformFailure, T> result =
                                    toResult(response, error, key, parser);
                            mTimers.execute(() -> stage.complete(result));
                        });
        return stage;
    }

    private static <T> Either<PlatformFailure, T> toResult(
            @Nullable Response response,
            @Nullable Throwable error,
            @Nullable ObjectKey key,
            Function<String, Either<PlatformFailure, T>> parser) {
        if (response == null) {
            return Either.left(toFailure(error));
        }
        return switch (response.getStatusCode()) {
            case OK -> parser.apply(response.getResponseBody());
            case NOT_FOUND ->
                    key == null
                            ? Either.left(
                                    new PlatformFailure.Unreadable(
                                            "status 404 on a request without an object key"))
                            : Either.left(new PlatformFailure.NotFound(key));
            case CONFLICT ->
                    key == null
                            ? Either.left(
                                    new PlatformFailure.Unreadable(
                                            "status 409 on a request without an object key"))
                            : Either.left(new PlatformFailure.Conflict(key));
            case TOO_MANY_REQUESTS ->
                    Either.left(new PlatformFailure.Unavailable(Reason.OVER_BUDGET));
            case UNAVAILABLE -> Either.left(new PlatformFailure.Unavailable(Reason.SERVER_ERROR));
            default -> Either.left(new PlatformFailure.AnswerLost(Reason.SERVER_ERROR));
        };
    }

    private static PlatformFailure toFailure(@Nullable Throwable error) {
        Throwable cause =
                error instanceof CompletionException && error.getCause() != null
                        ? error.getCause()
                        : error;
        if (cause instanceof ConnectException) {
            return new PlatformFailure.Unavailable(Reason.NO_CONNECTION);
        }
        return new PlatformFailure.AnswerLost(
                cause instanceof TimeoutException ? Reason.TIMEOUT : Reason.CONNECTION_LOST);
    }
}
