package io.rhubarbward.node;

import io.rhubarbward.forward.LocalRetryBudget;
import java.time.Duration;

/**
 * Limits that all routers of the fleet together keep, as the platform's settings state them.
 *
 * @param strictRevocation whether a revoked key must stop working within {@code revocation}
 * @param revocation the longest time that a revoked key may still work
 * @param retries the fleet's retry budget
 * @param exposureShare the largest share of a service's requests that a version on trial may get; 0
 *     where there are no rollouts
 * @param grace how long a process may keep running after it was told to stop
 */
public record FleetBounds(
        boolean strictRevocation,
        Duration revocation,
        LocalRetryBudget.Bound retries,
        double exposureShare,
        Duration grace) {
    /** Returns whether rollout orders are followed; without them the store is not asked for any. */
    boolean allowsRollouts() {
        return exposureShare > 0;
    }
}
