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
 * The settings of all sites as trees, before they are merged.
 *
 * @param base the base file
 * @param overlays the overlays by site
 * @param overrides what operators ordered by command
 */
record ConfigDocuments(ObjectNode base, Map<String, ObjectNode> overlays, ObjectNode overrides) {
    static final ConfigDocuments EMPTY = new ConfigDocuments(empty(), Map.of(), empty());

    ConfigDocuments {
        overlays = new TreeMap<>(overlays);
    }

    private static ObjectNode empty() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns the chunks that hold these documents. */
    Chunked split() {
        Map<String, String> texts = new HashMap<>();
        Function<ObjectNode, Map<String, List<String>>> name =
                tree -> ChunkSplitter.name(ChunkSplitter.split(tree), texts);
        Map<String, Map<String, List<String>>> named = new TreeMap<>();
        overlays.forEach((site, tree) -> named.put(site, name.apply(tree)));
        ConfigContent content = new ConfigContent(name.apply(base), named, name.apply(overrides));
        return new Chunked(content, texts);
    }

    /** Joins the documents that the content names, as far as their chunks are given. */
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
     * Documents as chunks.
     *
     * @param content the names
     * @param texts the chunks' texts by name
     */
    record Chunked(ConfigContent content, Map<String, String> texts) {
        Chunked {
            texts = Map.copyOf(texts);
        }
    }
}
