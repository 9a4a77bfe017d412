package io.rhubarbward.config;

import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.Collection;
import java.util.Comparator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Names what was expected in place of an unknown setting, the nearest one first. */
final class NameSuggestion {
    private static final int MAX_DISTANCE = 3;

    private NameSuggestion() {}

    static String among(UnrecognizedPropertyException unknown) {
        Collection<Object> known = unknown.getKnownPropertyIds();
        Stream<String> names = known == null ? Stream.empty() : known.stream().map(String::valueOf);
        return among(unknown.getPropertyName(), names.toList());
    }

    static String among(String name, Collection<String> known) {
        String all = known.stream().sorted().collect(Collectors.joining(", "));
        return known.stream()
                .filter(candidate -> distance(name, candidate) <= MAX_DISTANCE)
                .min(Comparator.comparingInt(candidate -> distance(name, candidate)))
                .map(nearest -> "a known name; did you mean \"" + nearest + "\"?")
                .orElse("one of " + all);
    }

    /** Returns the Levenshtein distance between the two names. */
    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        java.util.Arrays.setAll(row, index -> index);
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int replaced = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[right.length()];
    }
}
