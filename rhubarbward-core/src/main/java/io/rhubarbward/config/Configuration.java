package io.rhubarbward.config;

/**
 * An accepted configuration: the settings of one site at one generation.
 *
 * @param generation grows with every accepted change
 * @param settings the validated settings
 */
public record Configuration(long generation, Settings settings) {
    public Configuration {
        if (generation <= 0) {
            throw new IllegalArgumentException("generation " + generation + ": expected above 0");
        }
    }
}
