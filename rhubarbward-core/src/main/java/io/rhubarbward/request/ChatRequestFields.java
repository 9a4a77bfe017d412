package io.rhubarbward.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The fields of a chat request's JSON body that are needed for routing.
 *
 * @param model the requested model, if the body names one
 * @param chat the chat, if the body names one as {@code chat_id}
 */
record ChatRequestFields(Optional<String> model, Optional<String> chat) {
    private static final JsonFactory JSON_FACTORY =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** Parses the body to its end, so that malformed JSON never reaches an engine. */
    static Either<Refusal, ChatRequestFields> parse(ByteBuffer body) {
        byte[] bytes = new byte[body.remaining()];
        body.get(bytes);
        try (JsonParser parser = JSON_FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return malformed("expected a JSON object");
            }
            Map<String, String> strings = readTopLevelStrings(parser);
            if (parser.nextToken() != null) {
                return malformed("expected nothing after the JSON object");
            }
            return Either.right(
                    new ChatRequestFields(
                            Optional.ofNullable(strings.get("model")),
                            Optional.ofNullable(strings.get("chat_id"))));
        } catch (IOException e) {
            return malformed(
                    "not JSON: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static Map<String, String> readTopLevelStrings(JsonParser parser) throws IOException {
        Map<String, String> strings = new HashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_STRING) {
                strings.put(name, parser.getText());
            }
            parser.skipChildren();
        }
        return strings;
    }

    private static Either<Refusal, ChatRequestFields> malformed(String detail) {
        return Either.left(Refusal.of(RefusalCode.MALFORMED_REQUEST, "body: " + detail));
    }
}
