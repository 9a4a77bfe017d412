package io.rhubarbward.testing;

import io.rhubarbward.forward.BackendRequestMetadata;
import io.rhubarbward.forward.PromptMetadata;
import io.rhubarbward.forward.RequestDialect;
import io.rhubarbward.forward.RequestMetadata;
import io.rhubarbward.forward.ResponseMetadata;
import io.rhubarbward.placement.ServerLoad;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Stream;

/** A dialect with one short header field for each value of the request or response metadata. */
public final class FakeRequestDialect implements RequestDialect {
    @Override
    public Either<String, RequestMetadata> read(CallerRequest request) {
        HeaderFields headers = request.headers();
        return headers.first("id")
                .<Either<String, RequestMetadata>>map(
                        id ->
                                Either.right(
                                        new RequestMetadata(
                                                id,
                                                headers.first("host").orElse(""),
                                                headers.first("patience")
                                                        .map(Long::valueOf)
                                                        .map(Duration::ofMillis),
                                                headers.first("key"),
                                                headers.first("part").map(this::prompt))))
                .orElseGet(() -> Either.left("id: expected one"));
    }

    /**
     * Returns a prompt with the shared parts, which are separated by commas, and one of its own.
     */
    private PromptMetadata prompt(String sharedParts) {
        return new PromptMetadata(
                "m",
                100,
                10,
                Stream.concat(
                                Arrays.stream(sharedParts.split(","))
                                        .map(id -> new PromptMetadata.PromptPart(id, 90)),
                                Stream.of(new PromptMetadata.PromptPart("own", 10)))
                        .toList());
    }

    @Override
    public HeaderFields toServer(HeaderFields fromCaller, BackendRequestMetadata metadata) {
        return fromCaller
                .without(field -> field.name().equals("key"))
                .with("instance", metadata.instance())
                .with("remaining", Long.toString(metadata.remaining().toMillis()))
                .with("account", metadata.account().orElse("-"));
    }

    @Override
    public HeaderFields toPeer(HeaderFields fromCaller, Duration remaining) {
        return fromCaller
                .without(field -> field.name().equals("patience"))
                .with("patience", Long.toString(remaining.toMillis()));
    }

    @Override
    public ResponseMetadata readAnswer(int status, HeaderFields fromServer) {
        return new ResponseMetadata(
                fromServer.first("id"),
                fromServer.first("not-run").isPresent(),
                fromServer.first("forged").isEmpty(),
                fromServer.first("leaving").isPresent(),
                fromServer.first("rest").map(Long::valueOf).map(Duration::ofMillis),
                fromServer.first("limit").stream().mapToDouble(Double::parseDouble).findFirst(),
                fromServer.first("brittle").stream().mapToDouble(Double::parseDouble).findFirst(),
                fromServer.first("load").map(FakeRequestDialect::load));
    }

    /** Returns the load of a text such as "3", or "3,2.5" with a slowdown. */
    private static ServerLoad load(String text) {
        String[] figures = text.split(",");
        return new ServerLoad(
                Integer.parseInt(figures[0]),
                0,
                8,
                figures.length > 1 ? Double.parseDouble(figures[1]) : ServerLoad.USUAL_SLOWDOWN);
    }

    @Override
    public HeaderFields toCaller(HeaderFields fromServer) {
        return fromServer;
    }

    @Override
    public HeaderFields attemptId(String id) {
        return HeaderFields.of("id", id);
    }

    @Override
    public HeaderFields retryAfter(long millis) {
        return HeaderFields.of("retry-after-ms", Long.toString(millis));
    }
}
