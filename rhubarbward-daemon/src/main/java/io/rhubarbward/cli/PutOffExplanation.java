package io.rhubarbward.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Says in a sentence why a request was put off for want of room. */
final class PutOffExplanation {
    private PutOffExplanation() {}

    /** Returns the sentence for a log event; empty if it does not put a request off. */
    static Optional<String> of(JsonNode event) {
        return switch (event.path("event").asText()) {
            case "request-waits" ->
                    Optional.of(
                            "waited for at most %s ms: %s"
                                    .formatted(text(event, "waitMs"), reason(event)));
            case "request-put-off" ->
                    Optional.of(
                            "refused, to return after %s ms: %s"
                                    .formatted(text(event, "retryAfterMs"), reason(event)));
            default -> Optional.empty();
        };
    }

    private static String reason(JsonNode event) {
        String cause = text(event, "cause");
        String occupied =
                "%s of %s places were occupied %s ms before"
                        .formatted(
                                text(event, "occupied"),
                                text(event, "capacity"),
                                text(event, "ageMs"));
        String because =
                switch (cause) {
                    case "account-over-share" ->
                            "account %s used %s places, its share was %s, and the request takes %s"
                                    .formatted(
                                            text(event, "account"),
                                            text(event, "accountPlaces"),
                                            text(event, "accountShare"),
                                            text(event, "cost"));
                    case "rank-full" ->
                            "requests of rank %s may not fill that many"
                                    .formatted(text(event, "rank"));
                    case "others-wait" -> "waiting requests went before it";
                    case "servers-full" -> "every server that could take it was at its limit";
                    case "wait-over" -> "no turn came in that time";
                    case "queue-full" -> "the queue was full of requests that went before it";
                    default -> "cause " + cause;
                };
        return occupied + "; " + because;
    }

    private static String text(JsonNode event, String field) {
        return event.path(field).asText("?");
    }
}
