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
 * Splits a settings tree into fragments that merge into the tree again.
 *
 * <p>An object with names of the operators' own (such as {@code accounts}) is split by a hash of
 * the name, so that a change of one line changes one fragment; all other settings are one fragment.
 * Each is rendered in canonical form: sorted, without comments and white space.
 */
final class ChunkSplitter {
    /** The section that holds every setting that has no section of its own. */
    static final String REMAINDER = "settings";

    static final String DATA_CENTRES = "dataCentres";

    private static final Set<String> NAMED_SECTIONS =
            Set.of("accounts", "services", "backendServers", DATA_CENTRES);
    private static final int NAMES_PER_CHUNK = 64;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED).build();

    private ChunkSplitter() {}

    /** Returns the texts of the tree's fragments by section. */
    static Map<String, List<String>> split(ObjectNode tree) {
        Map<String, List<String>> sections = new TreeMap<>();
        ObjectNode remainder = tree.deepCopy();
        NAMED_SECTIONS.stream()
                .filter(section -> tree.get(section) instanceof ObjectNode)
                .forEach(
                        section -> {
                            ObjectNode named = (ObjectNode) remainder.remove(section);
                            sections.put(section, splitByName(section, named));
                        });
        if (!remainder.isEmpty()) {
            sections.put(REMAINDER, List.of(render(remainder)));
        }
        return sections;
    }

    private static List<String> splitByName(String section, ObjectNode named) {
        int buckets = buckets(named.size());
        Map<Long, ObjectNode> fragments = new TreeMap<>();
        if (named.isEmpty()) {
            fragments.put(0L, MAPPER.createObjectNode());
        }
        named.properties()
                .forEach(
                        entry ->
                                fragments
                                        .computeIfAbsent(
                                                bucket(entry.getKey(), buckets),
                                                key -> MAPPER.createObjectNode())
                                        .set(entry.getKey(), entry.getValue()));
        return fragments.values().stream()
                .map(fragment -> render(MAPPER.createObjectNode().set(section, fragment)))
                .toList();
    }

    /** A power of two, so that the number of fragments seldom changes as names come and go. */
    private static int buckets(int names) {
        int enough = Math.max(1, (names + NAMES_PER_CHUNK - 1) / NAMES_PER_CHUNK);
        int highest = Integer.highestOneBit(enough);
        return highest == enough ? enough : highest * 2;
    }

    private static long bucket(String name, int buckets) {
        return RendezvousHash.hash(name) & (buckets - 1);
    }

    /** Merges fragments into the tree they were split from. */
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

    /** Replaces each text by its name, and remembers the text under it. */
    static Map<String, List<String>> name(
            Map<String, List<String>> sections, Map<String, String> textsByName) {
        return sections.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry -> names(entry.getValue().stream(), textsByName)));
    }

    private static List<String> names(Stream<String> texts, Map<String, String> textsByName) {
        Map<String, String> named = new HashMap<>();
        List<String> names =
                texts.map(
                                text -> {
                                    String name = Sha256.of(text);
                                    named.put(name, text);
                                    return name;
                                })
                        .toList();
        textsByName.putAll(named);
        return names;
    }

    static String render(JsonNode tree) {
        try {
            return MAPPER.writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree is plain data", e);
        }
    }
}
