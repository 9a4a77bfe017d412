package io.rhubarbward.engine;

import io.rhubarbward.config.Service;

/**
 * How much an engine may carry after it has completed a number of requests since it was cold.
 *
 * <p>Only completed work lifts an engine: an engine that falls over under load completes nothing
 * and so stays where it is, however much time passes or however often it reports. The ramp is a
 * pure function, so that all routers that see the same counts agree on it.
 */
final class Ramp {
    /** How often an engine must complete a step's capacity before the next step. */
    private static final int ROUNDS_PER_STEP = 2;

    private static final int GROWTH_NUMERATOR = 3;
    private static final int GROWTH_DENOMINATOR = 2;

    private Ramp() {}

    /** Returns the capacity, from the service's cold concurrency up to its full one. */
    static int capacity(Service service, long completed) {
        int capacity = service.coldConcurrency();
        long left = completed;
        while (capacity < service.concurrency() && left >= step(capacity)) {
            left -= step(capacity);
            capacity = Math.min(service.concurrency(), grown(capacity));
        }
        return capacity;
    }

    private static long step(int capacity) {
        return (long) ROUNDS_PER_STEP * capacity;
    }

    private static int grown(int capacity) {
        return Math.max(capacity + 1, capacity * GROWTH_NUMERATOR / GROWTH_DENOMINATOR);
    }
}
