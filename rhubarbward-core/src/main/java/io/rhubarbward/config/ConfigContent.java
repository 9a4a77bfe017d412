package io.rhubarbward.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The contents of a configuration: the SHA-256 names of its chunks, by layer and section.
 *
 * @param base the names of the base file's chunks, by section
 * @param overlays for each site, the names of its overlay's chunks, by section
 * @param overrides the names of the chunks of settings that operators changed by command, by
 *     section; these settings take precedence over the overlays
 */
record ConfigContent(
        Map<String, List<String>> base,
        Map<String, Map<String, List<String>>> overlays,
        Map<String, List<String>> overrides) {
    ConfigContent {
        base = copy(base);
        overlays =
                overlays.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        entry -> copy(entry.getValue()),
                                        (first, second) -> first,
                                        TreeMap::new));
        overrides = copy(overrides);
    }

    private static Map<String, List<String>> copy(Map<String, List<String>> sections) {
        Map<String, List<String>> copy = new TreeMap<>();
        sections.forEach((section, chunks) -> copy.put(section, List.copyOf(chunks)));
        return copy;
    }

    /** Returns the site's layers, lowest first, each with the names of its chunks. */
    List<List<String>> layers(String site) {
        return Stream.of(base, overlays.getOrDefault(site, Map.of()), overrides)
                .map(layer -> names(layer).toList())
                .toList();
    }

    /** Returns the names of all chunks, each once. */
    List<String> chunks() {
        return Stream.concat(Stream.of(base, overrides), overlays.values().stream())
                .flatMap(ConfigContent::names)
                .distinct()
                .toList();
    }

    /** Returns the names of the chunks that hold one section, in any layer. */
    List<String> chunksOf(String section) {
        return Stream.concat(Stream.of(base, overrides), overlays.values().stream())
                .flatMap(layer -> layer.getOrDefault(section, List.of()).stream())
                .distinct()
                .toList();
    }

    private static Stream<String> names(Map<String, List<String>> layer) {
        return layer.values().stream().flatMap(List::stream);
    }
}
