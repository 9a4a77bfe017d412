package io.rhubarbward.config;

import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.Collection;
import java.util.Comparator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Describes the names that are expected in place of an unknown one: the most similar name if there
 * is one, else all names.
 */
final class NameSuggestion {
    private static final int MAX_DISTANCE = 3;

    private NameSuggestion() {}

    static String expected(UnrecognizedPropertyException unknown) {
        Collection<Object> known = unknown.getKnownPropertyIds();
        Stream<String> names = known == null ? Stream.empty() : known.stream().map(String::valueOf);
        return expected(unknown.getPropertyName(), names.toList());
    }

    static String expected(String name, Collection<String> known) {
        String allNames = known.stream().sorted().collect(Collectors.joining(", "));
        return known.stream()
                .filter(candidate -> distance(name, candidate) <= MAX_DISTANCE)
                .min(Comparator.comparingInt(candidate -> distance(name, candidate)))
                .map(nearest -> "a known name; did you mean \"" + nearest + "\"?")
                .orElse("one of " + allNames);
    }

    /** Returns the Levenshtein distance between the two names. */
    private static int distance(String left, String right) {
        int[] distances = new int[right.length() + 1];
        java.util.Arrays.setAll(distances, index -> index);
        for (int i = 1; i <= left.length(); i++) {
            int previousDiagonal = distances[0];
            distances[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int substitutionCost =
                        previousDiagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                previousDiagonal = distances[j];
                distances[j] =
                        Math.min(substitutionCost, 1 + Math.min(distances[j], distances[j - 1]));
            }
        }
        return distances[right.length()];
    }
}
