package io.rhubarbward.node;

import io.rhubarbward.forward.LocalRetryBudget;
import java.time.Duration;

/**
 * What the whole fleet has promised to keep.
 *
 * @param strictRevocation whether a key that was taken away must stop working in time
 * @param revocation within which time it must
 * @param retries how many requests may be sent more than once
 * @param exposureShare the largest share of a service's requests for a version on trial
 * @param grace how long a stopping process may go on
 */
public record FleetBounds(
        boolean strictRevocation,
        Duration revocation,
        LocalRetryBudget.Bound retries,
        double exposureShare,
        Duration grace) {}
