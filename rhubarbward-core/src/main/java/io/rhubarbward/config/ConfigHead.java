package io.rhubarbward.config;

import java.util.List;
import java.util.Map;

/**
 * The object whose conditional update accepts a configuration.
 *
 * @param generation grows by one with every accepted change
 * @param nonce chosen by the writer, so that it knows its own write after a lost answer
 * @param base the SHA-256 of the base file's chunk
 * @param overlays for each site, the SHA-256 of its overlay's chunk
 */
record ConfigHead(
        long generation, String nonce, List<String> base, Map<String, List<String>> overlays) {
    ConfigHead {
        base = List.copyOf(base);
        overlays = Map.copyOf(overlays);
    }
}
