package io.rhubarbward.store;

import java.util.regex.Pattern;

/**
 * The name of an object in the platform's store, such as {@code config/head}.
 *
 * @param path segments of letters, digits, dots, dashes and underscores, joined by slashes
 */
public record ObjectKey(String path) {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");

    public ObjectKey {
        if (!PATTERN.matcher(path).matches()) {
            throw new IllegalArgumentException(
                    "object key \"" + path + "\": expected a match of " + PATTERN);
        }
    }

    /** Returns the key with the path. */
    public static ObjectKey of(String path) {
        return new ObjectKey(path);
    }

    @Override
    public String toString() {
        return path;
    }
}
