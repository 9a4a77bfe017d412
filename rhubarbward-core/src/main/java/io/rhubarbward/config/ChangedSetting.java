package io.rhubarbward.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * A setting that has different values in two configurations.
 *
 * @param layer {@code base}, {@code overrides}, or the site of an overlay
 * @param path the setting's path, such as {@code accounts.acme.burst}
 * @param before the value in the first configuration, as JSON; empty if the setting is absent
 * @param after the value in the second configuration, as JSON; empty if the setting is absent
 */
public record ChangedSetting(String layer, String path, String before, String after) {
    /**
     * Returns all settings that differ: those of the base, then of the overlays by site, then of
     * the overrides, each layer sorted by path.
     */
    static List<ChangedSetting> between(ConfigDocuments before, ConfigDocuments after) {
        TreeSet<String> sites = new TreeSet<>(before.overlays().keySet());
        sites.addAll(after.overlays().keySet());
        Stream<ChangedSetting> overlays =
                sites.stream()
                        .flatMap(
                                site ->
                                        differences(
                                                site,
                                                "",
                                                overlay(before, site),
                                                overlay(after, site)));
        return Stream.of(
                        differences("base", "", before.base(), after.base()),
                        overlays,
                        differences("overrides", "", before.overrides(), after.overrides()))
                .flatMap(changes -> changes)
                .toList();
    }

    private static JsonNode overlay(ConfigDocuments documents, String site) {
        return Optional.<JsonNode>ofNullable(documents.overlays().get(site))
                .orElse(MissingNode.getInstance());
    }

    private static Stream<ChangedSetting> differences(
            String layer, String path, JsonNode before, JsonNode after) {
        if (before.equals(after)) {
            return Stream.empty();
        }
        boolean anyObject = before instanceof ObjectNode || after instanceof ObjectNode;
        boolean anyValue = before.isValueNode() || after.isValueNode();
        if (!anyObject || anyValue) {
            return Stream.of(new ChangedSetting(layer, path, text(before), text(after)));
        }
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        return names.stream()
                .flatMap(
                        name ->
                                differences(
                                        layer,
                                        path.isEmpty() ? name : path + "." + name,
                                        before.path(name),
                                        after.path(name)));
    }

    private static String text(JsonNode value) {
        return value.isMissingNode() ? "" : value.toString();
    }

    @Override
    public String toString() {
        return layer + ": " + path + ": " + valueOrNone(before) + " -> " + valueOrNone(after);
    }

    private static String valueOrNone(String value) {
        return value.isEmpty() ? "(none)" : value;
    }
}
