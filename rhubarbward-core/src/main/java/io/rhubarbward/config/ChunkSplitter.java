package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rhubarbward.hash.RendezvousHash;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Splits a settings tree into chunks, and joins chunks into a tree.
 *
 * <p>A section whose entries operators name (such as {@code accounts}) is split by a hash of the
 * entry's name, so that a change of one entry changes one chunk; all other settings are one chunk.
 * Each chunk is written as canonical JSON: sorted, without comments and white space.
 */
final class ChunkSplitter {
    /** The name under which all settings outside the named sections are stored. */
    static final String UNSPLIT_SETTINGS = "settings";

    static final String DATA_CENTRES = "dataCentres";

    private static final Set<String> NAMED_SECTIONS =
            Set.of("accounts", "services", "backendServers", DATA_CENTRES);
    private static final int MAX_MEAN_NAMES_PER_CHUNK = 64;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED).build();

    private ChunkSplitter() {}

    /** Returns the texts of the tree's chunks by section. */
    static Map<String, List<String>> split(ObjectNode tree) {
        Map<String, List<String>> sections = new TreeMap<>();
        ObjectNode unsplit = tree.deepCopy();
        NAMED_SECTIONS.stream()
                .filter(section -> tree.get(section) instanceof ObjectNode)
                .forEach(
                        section -> {
                            ObjectNode entries = (ObjectNode) unsplit.remove(section);
                            sections.put(section, splitByName(section, entries));
                        });
        if (!unsplit.isEmpty()) {
            sections.put(UNSPLIT_SETTINGS, List.of(render(unsplit)));
        }
        return sections;
    }

    private static List<String> splitByName(String section, ObjectNode entries) {
        int bucketCount = bucketCount(entries.size());
        Map<Long, ObjectNode> fragments = new TreeMap<>();
        if (entries.isEmpty()) {
            fragments.put(0L, MAPPER.createObjectNode());
        }
        entries.properties()
                .forEach(
                        entry ->
                                fragments
                                        .computeIfAbsent(
                                                bucket(entry.getKey(), bucketCount),
                                                key -> MAPPER.createObjectNode())
                                        .set(entry.getKey(), entry.getValue()));
        return fragments.values().stream()
                .map(fragment -> render(MAPPER.createObjectNode().set(section, fragment)))
                .toList();
    }

    /**
     * Returns a power of two, so that adding or removing names seldom changes the number of chunks.
     */
    private static int bucketCount(int names) {
        int minBuckets =
                Math.max(1, (names + MAX_MEAN_NAMES_PER_CHUNK - 1) / MAX_MEAN_NAMES_PER_CHUNK);
        int powerOfTwo = Integer.highestOneBit(minBuckets);
        return powerOfTwo == minBuckets ? minBuckets : powerOfTwo * 2;
    }

    private static long bucket(String name, int bucketCount) {
        return RendezvousHash.hash(name) & (bucketCount - 1);
    }

    /** Merges chunks into the tree that they were split from. */
    static Either<ConfigFailure, ObjectNode> join(Collection<String> texts) {
        ObjectNode tree = MAPPER.createObjectNode();
        for (String text : texts) {
            try {
                JsonNode fragment = MAPPER.readTree(text);
                if (!(fragment instanceof ObjectNode object)) {
                    return Either.left(new ConfigFailure.Corrupt("chunk: expected an object"));
                }
                SettingsReader.mergeFragment(tree, object);
            } catch (JsonProcessingException e) {
                return Either.left(new ConfigFailure.Corrupt("chunk: " + e.getOriginalMessage()));
            }
        }
        return Either.right(tree);
    }

    /** Replaces each chunk's text by its SHA-256 name, and adds the text to {@code textsByName}. */
    static Map<String, List<String>> replaceByName(
            Map<String, List<String>> sections, Map<String, String> textsByName) {
        return sections.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry -> names(entry.getValue().stream(), textsByName)));
    }

    private static List<String> names(Stream<String> texts, Map<String, String> textsByName) {
        Map<String, String> textsOfNames = new HashMap<>();
        List<String> names =
                texts.map(
                                text -> {
                                    String name = Sha256.of(text);
                                    textsOfNames.put(name, text);
                                    return name;
                                })
                        .toList();
        textsByName.putAll(textsOfNames);
        return names;
    }

    static String render(JsonNode tree) {
        try {
            return MAPPER.writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the settings cannot be written as JSON", e);
        }
    }
}
