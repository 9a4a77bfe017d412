package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * A parsed settings text with the source location of each value.
 *
 * @param name the file's name, for messages
 * @param root the JSON tree
 * @param locations the source locations by the values' JSON pointers
 */
record SettingsDocument(String name, ObjectNode root, Map<JsonPointer, SourceLocation> locations) {
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();
    private static final ObjectMapper MAPPER = JsonMapper.builder(FACTORY).build();

    SettingsDocument {
        locations = Map.copyOf(locations);
    }

    static Either<ConfigFailure, SettingsDocument> parse(String name, String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            if (!(root instanceof ObjectNode object)) {
                return Either.left(
                        new ConfigFailure.Malformed(
                                new SourceLocation(name, 1, 1), "expected an object"));
            }
            return Either.right(new SettingsDocument(name, object, locate(name, text)));
        } catch (JsonProcessingException e) {
            return Either.left(
                    new ConfigFailure.Malformed(
                            location(name, e.getLocation()), e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(new ConfigFailure.UnreadableFile(name, String.valueOf(e)));
        }
    }

    /**
     * Returns the failure for the value at the path, with the location of the value, or of the
     * nearest object around it if the value is missing.
     */
    ConfigFailure.InvalidSetting invalid(List<String> path, String expected) {
        JsonPointer pointer = pointer(path);
        return new ConfigFailure.InvalidSetting(
                nearestLocation(pointer), String.join(".", path), valueAt(pointer), expected);
    }

    private SourceLocation nearestLocation(JsonPointer pointer) {
        return Stream.iterate(pointer, Objects::nonNull, JsonPointer::head)
                .map(locations::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(new SourceLocation(name, 1, 1));
    }

    private String valueAt(JsonPointer pointer) {
        JsonNode value = root.at(pointer);
        return value.isMissingNode() ? "" : value.toString();
    }

    private static JsonPointer pointer(List<String> path) {
        return path.stream()
                .reduce(
                        JsonPointer.empty(),
                        JsonPointer::appendProperty,
                        (left, right) -> left.append(right));
    }

    private static Map<JsonPointer, SourceLocation> locate(String name, String text)
            throws IOException {
        Map<JsonPointer, SourceLocation> locations = new HashMap<>();
        try (JsonParser parser = FACTORY.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token.isScalarValue() || token.isStructStart()) {
                    locations.put(
                            parser.getParsingContext().pathAsPointer(),
                            location(name, parser.currentTokenLocation()));
                }
            }
        }
        return locations;
    }

    private static SourceLocation location(String name, JsonLocation at) {
        return new SourceLocation(name, Math.max(1, at.getLineNr()), Math.max(1, at.getColumnNr()));
    }
}
