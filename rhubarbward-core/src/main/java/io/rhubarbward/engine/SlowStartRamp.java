package io.rhubarbward.engine;

import io.rhubarbward.config.Service;

/**
 * Slow start: the number of concurrent requests that a cold engine may carry, which grows with the
 * requests that it completes.
 *
 * <p>Only completed requests raise the capacity. An engine that fails under load completes nothing
 * and so stays at its step, however much time passes or however often it reports. The ramp is a
 * pure function, so that all routers that see the same counts compute the same capacity.
 */
final class SlowStartRamp {
    /** An engine must complete this many times a step's capacity to reach the next step. */
    private static final int ROUNDS_PER_STEP = 2;

    private static final int GROWTH_NUMERATOR = 3;
    private static final int GROWTH_DENOMINATOR = 2;

    private SlowStartRamp() {}

    /**
     * Returns the capacity, between the service's cold concurrency and its full concurrency.
     *
     * @param service the service that the engine belongs to
     * @param completed requests completed since the engine was last cold
     */
    static int capacity(Service service, long completed) {
        int capacity = service.coldConcurrency();
        long remaining = completed;
        while (capacity < service.concurrency() && remaining >= requestsForNextStep(capacity)) {
            remaining -= requestsForNextStep(capacity);
            capacity = Math.min(service.concurrency(), nextCapacity(capacity));
        }
        return capacity;
    }

    private static long requestsForNextStep(int capacity) {
        return (long) ROUNDS_PER_STEP * capacity;
    }

    private static int nextCapacity(int capacity) {
        return Math.max(capacity + 1, capacity * GROWTH_NUMERATOR / GROWTH_DENOMINATOR);
    }
}
