package io.rhubarbward.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The layers of a configuration, for all sites, as JSON trees that are not merged yet.
 *
 * @param base the settings of the base file
 * @param overlays the settings of the overlays, by site
 * @param overrides the settings that operators changed by command
 */
record ConfigDocuments(ObjectNode base, Map<String, ObjectNode> overlays, ObjectNode overrides) {
    static final ConfigDocuments EMPTY =
            new ConfigDocuments(emptyObject(), Map.of(), emptyObject());

    ConfigDocuments {
        overlays = new TreeMap<>(overlays);
    }

    private static ObjectNode emptyObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Splits these documents into chunks. */
    Chunked split() {
        Map<String, String> texts = new HashMap<>();
        Function<ObjectNode, Map<String, List<String>>> storeAndName =
                tree -> ChunkSplitter.replaceByName(ChunkSplitter.split(tree), texts);
        Map<String, Map<String, List<String>>> namesBySite = new TreeMap<>();
        overlays.forEach((site, tree) -> namesBySite.put(site, storeAndName.apply(tree)));
        ConfigContent content =
                new ConfigContent(
                        storeAndName.apply(base), namesBySite, storeAndName.apply(overrides));
        return new Chunked(content, texts);
    }

    /** Joins the documents from the content's chunks; chunks without a text are left out. */
    static Either<ConfigFailure, ConfigDocuments> join(
            ConfigContent content, Map<String, String> texts) {
        Map<String, ObjectNode> overlays = new TreeMap<>();
        for (Map.Entry<String, Map<String, List<String>>> overlay : content.overlays().entrySet()) {
            Either<ConfigFailure, ObjectNode> tree = joinLayer(overlay.getValue(), texts);
            if (tree.isLeft()) {
                return Either.left(tree.getLeft());
            }
            overlays.put(overlay.getKey(), tree.get());
        }
        return joinLayer(content.base(), texts)
                .flatMap(
                        base ->
                                joinLayer(content.overrides(), texts)
                                        .map(
                                                overrides ->
                                                        new ConfigDocuments(
                                                                base, overlays, overrides)));
    }

    private static Either<ConfigFailure, ObjectNode> joinLayer(
            Map<String, List<String>> layer, Map<String, String> texts) {
        return ChunkSplitter.join(
                layer.values().stream()
                        .flatMap(List::stream)
                        .filter(texts::containsKey)
                        .map(texts::get)
                        .toList());
    }

    /**
     * Documents that are split into chunks.
     *
     * @param content the names of all chunks
     * @param texts texts of chunks by name
     */
    record Chunked(ConfigContent content, Map<String, String> texts) {
        Chunked {
            texts = Map.copyOf(texts);
        }
    }
}
