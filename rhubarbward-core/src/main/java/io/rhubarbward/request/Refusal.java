package io.rhubarbward.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.LongFunction;

/**
 * A refusal of a request, sent to the caller as a problem document (RFC 9457).
 *
 * @param code the reason
 * @param detail what was found and what was expected, as text for people
 * @param retryAfterMillis the time after which a retry may succeed; 0 if a retry does not help
 * @param runState whether the request may have run
 */
public record Refusal(RefusalCode code, String detail, long retryAfterMillis, RunState runState) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /** Creates a refusal with the code's default run state. */
    public Refusal(RefusalCode code, String detail, long retryAfterMillis) {
        this(code, detail, retryAfterMillis, code.runState());
    }

    /** Returns a refusal for which a retry does not help. */
    public static Refusal of(RefusalCode code, String detail) {
        return new Refusal(code, detail, 0);
    }

    /** Returns this refusal with its run state adjusted to whether the request may have run. */
    public Refusal withRunState(boolean mayHaveRun) {
        return new Refusal(code, detail, retryAfterMillis, code.runState(mayHaveRun));
    }

    /** Returns the problem document as JSON. */
    public String json() {
        ObjectNode problem =
                MAPPER.createObjectNode()
                        .put("type", "urn:rhubarbward:refusal:" + code.label())
                        .put("title", code.title())
                        .put("status", code.status())
                        .put("detail", detail)
                        .put("code", code.label())
                        .put("run", runState.label());
        try {
            return MAPPER.writeValueAsString(problem);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a problem document as JSON", e);
        }
    }

    /** Sends the refusal as a complete answer, with a retry-after field if a retry may help. */
    public void sendTo(CallerResponse response) {
        sendTo(response, Refusal::retryAfter);
    }

    /** Sends the refusal; the function gives the header fields for a delay in milliseconds. */
    public void sendTo(CallerResponse response, LongFunction<HeaderFields> retryAfter) {
        ByteBuffer body = StandardCharsets.UTF_8.encode(json());
        HeaderFields headers =
                HeaderFields.of("content-type", "application/problem+json")
                        .with("content-length", Integer.toString(body.remaining()));
        response.begin(
                code.status(),
                retryAfterMillis > 0 ? headers.and(retryAfter.apply(retryAfterMillis)) : headers);
        response.write(body);
        response.finish();
    }

    private static HeaderFields retryAfter(long millis) {
        long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return HeaderFields.of("retry-after", Long.toString(seconds));
    }
}
