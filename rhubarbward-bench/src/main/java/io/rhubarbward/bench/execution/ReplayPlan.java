package io.rhubarbward.bench.execution;

import java.time.Duration;

/**
 * How much a replay does; the seed decides which faults fall where.
 *
 * @param seed of every choice
 * @param keys idempotency keys that callers use
 * @param keysPerSecond new keys in a second of virtual time
 * @param routers routers at a time
 * @param killPeriod how often a router dies and another takes its place
 * @param outagePeriod from the beginning of one outage of the store to the next
 * @param outage how long the store is out each time
 */
public record ReplayPlan(
        long seed,
        int keys,
        int keysPerSecond,
        int routers,
        Duration killPeriod,
        Duration outagePeriod,
        Duration outage) {
    /** Returns a plan with faults of every kind. */
    public static ReplayPlan of(long seed, int keys) {
        return new ReplayPlan(
                seed,
                keys,
                200,
                6,
                Duration.ofMillis(400),
                Duration.ofSeconds(200),
                Duration.ofSeconds(60));
    }
}
