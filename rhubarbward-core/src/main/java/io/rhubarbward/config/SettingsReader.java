package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Reads settings texts, merges them in order and checks the result.
 *
 * <pre>{@code
 * Either<ConfigFailure, Settings> settings =
 *         new SettingsReader().read(List.of(new SettingsText("base.json", base)));
 * }</pre>
 *
 * <p>Later texts go before earlier ones, and all go before the defaults. Objects merge by name, a
 * null takes an entry out, and everything else is replaced whole.
 */
public final class SettingsReader {
    private static final Map<String, String> ELEMENT_DEFAULTS =
            Map.of(
                    "accounts", "accountDefaults",
                    "services", "serviceDefaults",
                    "backendServers", "backendServerDefaults",
                    "dataCentres", "dataCentreDefaults");
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    /** Merges the texts over the defaults and checks the result whole. */
    public Either<ConfigFailure, Settings> read(List<SettingsText> texts) {
        SettingsDocument merged = parseDefaults();
        for (SettingsText text : texts) {
            Either<ConfigFailure, SettingsDocument> next =
                    SettingsDocument.parse(text.name(), text.text());
            if (next.isLeft()) {
                return Either.left(next.getLeft());
            }
            merged = merge(merged, next.get());
        }
        return bind(merged);
    }

    /** Returns the settings that hold before any configuration has been taken. */
    public static Settings defaults() {
        return new SettingsReader()
                .read(List.of())
                .getOrElseThrow(
                        failure -> new IllegalStateException("defaults: " + failure.message()));
    }

    /** Merges checked trees over the defaults; nothing tells where a value stands. */
    Either<ConfigFailure, Settings> readTrees(List<ObjectNode> trees) {
        SettingsDocument defaults = parseDefaults();
        ObjectNode root = defaults.root().deepCopy();
        trees.forEach(tree -> mergeObject(root, tree));
        return bind(new SettingsDocument("accepted", root, Map.of()));
    }

    /** Reads one text as the record, such as a process's own settings. */
    public static <T> Either<ConfigFailure, T> readAs(Class<T> type, SettingsText text) {
        return SettingsDocument.parse(text.name(), text.text())
                .flatMap(document -> bind(document, document.root(), type));
    }

    /** Reads one text as the record; settings that it lacks come from the defaults. */
    public static <T> Either<ConfigFailure, T> readAs(
            Class<T> type, SettingsText defaults, SettingsText text) {
        return SettingsDocument.parse(defaults.name(), defaults.text())
                .flatMap(
                        below ->
                                SettingsDocument.parse(text.name(), text.text())
                                        .map(above -> merge(below, above)))
                .flatMap(document -> bind(document, document.root(), type));
    }

    private static SettingsDocument parseDefaults() {
        return SettingsDocument.parse("defaults.json", defaultsText())
                .getOrElseThrow(
                        failure -> new IllegalStateException("defaults: " + failure.message()));
    }

    private static String defaultsText() {
        try (InputStream stream =
                Objects.requireNonNull(SettingsReader.class.getResourceAsStream("defaults.json"))) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static SettingsDocument merge(SettingsDocument below, SettingsDocument above) {
        Map<JsonPointer, SourceLocation> locations = new HashMap<>(below.locations());
        locations.putAll(above.locations());
        ObjectNode root = below.root().deepCopy();
        mergeObject(root, above.root());
        return new SettingsDocument(above.name(), root, locations);
    }

    /** Adds a fragment to the tree; a null stays, since it has yet to take an entry out. */
    static void mergeFragment(ObjectNode target, ObjectNode fragment) {
        fragment.properties()
                .forEach(
                        entry -> {
                            if (entry.getValue() instanceof ObjectNode object
                                    && target.get(entry.getKey()) instanceof ObjectNode existing) {
                                existing.setAll(object);
                            } else {
                                target.set(entry.getKey(), entry.getValue());
                            }
                        });
    }

    private static void mergeObject(ObjectNode target, ObjectNode source) {
        source.properties().forEach(entry -> mergeEntry(target, entry.getKey(), entry.getValue()));
    }

    private static void mergeEntry(ObjectNode target, String name, JsonNode value) {
        if (value.isNull()) {
            target.remove(name);
        } else if (value instanceof ObjectNode object
                && target.get(name) instanceof ObjectNode existing) {
            mergeObject(existing, object);
        } else {
            target.set(name, value.deepCopy());
        }
    }

    private static Either<ConfigFailure, Settings> bind(SettingsDocument merged) {
        ObjectNode root = merged.root().deepCopy();
        ELEMENT_DEFAULTS.forEach((elements, defaults) -> applyDefaults(root, elements, defaults));
        return bind(merged, root, Settings.class)
                .flatMap(settings -> new SettingsReferences(merged).check(settings));
    }

    private static <T> Either<ConfigFailure, T> bind(
            SettingsDocument document, ObjectNode root, Class<T> type) {
        try {
            return Either.right(MAPPER.treeToValue(root, type));
        } catch (JsonProcessingException e) {
            return Either.left(explain(e, document));
        }
    }

    private static void applyDefaults(ObjectNode root, String elements, String defaults) {
        JsonNode below = root.remove(defaults);
        if (root.get(elements) instanceof ObjectNode named) {
            named.properties()
                    .forEach(
                            entry ->
                                    named.set(
                                            entry.getKey(),
                                            complete(entry.getKey(), entry.getValue(), below)));
        }
    }

    private static JsonNode complete(String name, JsonNode element, @Nullable JsonNode defaults) {
        if (!(element instanceof ObjectNode object)) {
            return element;
        }
        ObjectNode complete = MAPPER.createObjectNode().put("name", name);
        if (defaults instanceof ObjectNode below) {
            mergeObject(complete, below);
        }
        mergeObject(complete, object);
        return complete;
    }

    private static ConfigFailure explain(JsonProcessingException e, SettingsDocument merged) {
        if (!(e instanceof JsonMappingException mapping)) {
            return new ConfigFailure.Corrupt(e.getOriginalMessage());
        }
        List<String> path =
                mapping.getPath().stream()
                        .map(JsonMappingException.Reference::getFieldName)
                        .filter(Objects::nonNull)
                        .collect(Collectors.toCollection(java.util.ArrayList::new));
        if (e.getCause() instanceof InvalidSettingException invalid) {
            path.add(invalid.setting());
            return merged.invalid(path, invalid.expected());
        }
        if (e instanceof UnrecognizedPropertyException unknown) {
            return merged.invalid(path, NameSuggestion.among(unknown));
        }
        if (e instanceof MismatchedInputException mismatch) {
            return merged.invalid(path, expectation(mismatch));
        }
        return merged.invalid(path, mapping.getOriginalMessage());
    }

    private static String expectation(MismatchedInputException mismatch) {
        Class<?> type = mismatch.getTargetType();
        if (type != null && type.isEnum()) {
            return mismatch.getOriginalMessage().replaceFirst(".*: not one of", "one of");
        }
        boolean missing = mismatch.getOriginalMessage().contains("creator property");
        return missing ? "a value, which is missing" : "a value of type " + typeName(type);
    }

    private static String typeName(@Nullable Class<?> type) {
        if (type == null) {
            return "that the settings reference states";
        }
        return type.isRecord() || Map.class.isAssignableFrom(type)
                ? "object"
                : type.getSimpleName();
    }
}
