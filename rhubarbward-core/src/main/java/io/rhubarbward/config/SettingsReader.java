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
 * Reads settings texts, merges them in order and validates the result.
 *
 * <pre>{@code
 * Either<ConfigFailure, Settings> settings =
 *         new SettingsReader().read(List.of(new SettingsText("base.json", base)));
 * }</pre>
 *
 * <p>Later texts take precedence over earlier ones, and all over the defaults. Objects are merged
 * by name, a null removes an entry, and every other value is replaced as a whole.
 */
public final class SettingsReader {
    private static final Map<String, String> DEFAULTS_BY_SECTION =
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

    /** Merges the texts over the defaults and validates the result. */
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

    /** Returns the defaults, which apply until the first configuration is in force. */
    public static Settings defaults() {
        return new SettingsReader()
                .read(List.of())
                .getOrElseThrow(
                        failure -> new IllegalStateException("defaults: " + failure.message()));
    }

    /**
     * Merges accepted trees over the defaults and validates the result; failures have no location.
     */
    Either<ConfigFailure, Settings> readTrees(List<ObjectNode> trees) {
        SettingsDocument defaults = parseDefaults();
        ObjectNode root = defaults.root().deepCopy();
        trees.forEach(tree -> mergeObject(root, tree));
        return bind(new SettingsDocument("accepted", root, Map.of()));
    }

    /** Reads one text into a record of the type, such as the settings of a process. */
    public static <T> Either<ConfigFailure, T> readAs(Class<T> type, SettingsText text) {
        return SettingsDocument.parse(text.name(), text.text())
                .flatMap(document -> bind(document, document.root(), type));
    }

    /** Reads one text, merged over the defaults, into a record of the type. */
    public static <T> Either<ConfigFailure, T> readAs(
            Class<T> type, SettingsText defaults, SettingsText text) {
        return SettingsDocument.parse(defaults.name(), defaults.text())
                .flatMap(
                        lower ->
                                SettingsDocument.parse(text.name(), text.text())
                                        .map(higher -> merge(lower, higher)))
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

    private static SettingsDocument merge(SettingsDocument lower, SettingsDocument higher) {
        Map<JsonPointer, SourceLocation> locations = new HashMap<>(lower.locations());
        locations.putAll(higher.locations());
        ObjectNode root = lower.root().deepCopy();
        mergeObject(root, higher.root());
        return new SettingsDocument(higher.name(), root, locations);
    }

    /**
     * Adds a chunk's settings to the tree. Nulls are kept, since they still have to remove entries
     * when the layers are merged.
     */
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
        DEFAULTS_BY_SECTION.forEach(
                (section, defaultsSection) -> applyDefaults(root, section, defaultsSection));
        return bind(merged, root, Settings.class)
                .flatMap(settings -> new SettingsReferences(merged).check(settings));
    }

    private static <T> Either<ConfigFailure, T> bind(
            SettingsDocument document, ObjectNode root, Class<T> type) {
        try {
            return Either.right(MAPPER.treeToValue(root, type));
        } catch (JsonProcessingException e) {
            return Either.left(toConfigFailure(e, document));
        }
    }

    private static void applyDefaults(ObjectNode root, String section, String defaultsSection) {
        JsonNode defaults = root.remove(defaultsSection);
        if (root.get(section) instanceof ObjectNode entries) {
            entries.properties()
                    .forEach(
                            entry ->
                                    entries.set(
                                            entry.getKey(),
                                            withDefaults(
                                                    entry.getKey(), entry.getValue(), defaults)));
        }
    }

    private static JsonNode withDefaults(
            String name, JsonNode element, @Nullable JsonNode defaults) {
        if (!(element instanceof ObjectNode object)) {
            return element;
        }
        ObjectNode complete = MAPPER.createObjectNode().put("name", name);
        if (defaults instanceof ObjectNode defaultValues) {
            mergeObject(complete, defaultValues);
        }
        mergeObject(complete, object);
        return complete;
    }

    private static ConfigFailure toConfigFailure(
            JsonProcessingException e, SettingsDocument merged) {
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
            return merged.invalid(path, NameSuggestion.expected(unknown));
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
