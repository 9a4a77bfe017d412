package io.rhubarbward.store;

import java.time.Duration;

/**
 * When the watches of a kind are sent and checked.
 *
 * @param hold how long the store waits for a change before it answers a watch
 * @param rest pause after a watch that returned changes, in which further changes gather
 * @param check how long a watch is open at least, and how long ago its last check was, before it is
 *     checked: the store has changed meanwhile, and the watch's connection may have gone silent
 */
public record WatchTiming(Duration hold, Duration rest, Duration check) {
    public WatchTiming {
        if (hold.isNegative() || rest.isNegative() || check.isNegative()) {
            throw new IllegalArgumentException(
                    "hold="
                            + hold
                            + " rest="
                            + rest
                            + " check="
                            + check
                            + ": expected no negative");
        }
    }
}
