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
 * The fields of a chat request's body that routing needs.
 *
 * @param model the model asked for, if the body names one
 * @param chat the chat, if the body names one in {@code chat_id}
 */
record ChatEnvelope(Optional<String> model, Optional<String> chat) {
    private static final JsonFactory FACTORY =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** Reads the body to its end, so that malformed JSON never reaches an engine. */
    static Either<Refusal, ChatEnvelope> parse(ByteBuffer body) {
        byte[] bytes = new byte[body.remaining()];
        body.get(bytes);
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return malformed("expected a JSON object");
            }
            Map<String, String> texts = topLevelTexts(parser);
            if (parser.nextToken() != null) {
                return malformed("expected nothing after the JSON object");
            }
            return Either.right(
                    new ChatEnvelope(
                            Optional.ofNullable(texts.get("model")),
                            Optional.ofNullable(texts.get("chat_id"))));
        } catch (IOException e) {
            return malformed(
                    "not JSON: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static Map<String, String> topLevelTexts(JsonParser parser) throws IOException {
        Map<String, String> texts = new HashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_STRING) {
                texts.put(name, parser.getText());
            }
            parser.skipChildren();
        }
        return texts;
    }

    private static Either<Refusal, ChatEnvelope> malformed(String detail) {
        return Either.left(Refusal.of(RefusalCode.MALFORMED_REQUEST, "body: " + detail));
    }
}
