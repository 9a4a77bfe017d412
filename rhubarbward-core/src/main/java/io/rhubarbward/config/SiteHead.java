package io.rhubarbward.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The part of a configuration head that the routers of one site need.
 *
 * @param generation the accepted generation
 * @param layers the names of each layer's chunks, the layer with the lowest precedence first
 */
public record SiteHead(long generation, List<List<String>> layers) {
    public SiteHead {
        if (generation <= 0) {
            throw new IllegalArgumentException("generation " + generation + ": expected above 0");
        }
        layers = layers.stream().map(List::copyOf).toList();
    }

    static SiteHead of(ConfigHead head, String site) {
        return new SiteHead(head.generation(), head.content().layers(site));
    }

    /** Returns the names of all chunks, each once. */
    public List<String> chunks() {
        return layers.stream().flatMap(List::stream).distinct().toList();
    }

    /**
     * Merges the chunks and validates the settings.
     *
     * @param texts the chunks' texts by name; must contain all chunks of this head
     */
    Either<ConfigFailure, Configuration> assemble(Map<String, String> texts) {
        List<com.fasterxml.jackson.databind.node.ObjectNode> trees = new ArrayList<>();
        for (List<String> layer : layers) {
            var tree =
                    ChunkSplitter.join(
                            layer.stream()
                                    .map(name -> Objects.requireNonNull(texts.get(name)))
                                    .toList());
            if (tree.isLeft()) {
                return Either.left(tree.getLeft());
            }
            trees.add(tree.get());
        }
        return new SettingsReader()
                .readTrees(trees)
                .map(settings -> new Configuration(generation, settings));
    }
}
