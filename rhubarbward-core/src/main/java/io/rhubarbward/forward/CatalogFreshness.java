package io.rhubarbward.forward;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides whether the catalogue was confirmed recently enough to trust it.
 *
 * @param strictRevocation whether a revoked key must stop working within a fixed time
 * @param maxRevocationDelay the time within which a revoked key must stop working
 * @param catalogAgeMillis how outdated this router's catalogue may be
 * @param clockJumped whether the clocks jumped since the last call, as after a pause of the VM
 */
public record CatalogFreshness(
        boolean strictRevocation,
        Duration maxRevocationDelay,
        LongSupplier catalogAgeMillis,
        BooleanSupplier clockJumped) {
    /** Part of the revocation delay reserved for the time from the key check to the server. */
    private static final long REVOCATION_MARGIN_MILLIS = 400;

    /** Age from which a newer catalogue may contain what this one lacks. */
    private static final long CURRENT_MAX_AGE_MILLIS = 4000;

    /** Returns whether a request with a key may be sent now. */
    public boolean mayTrustKeys() {
        return !clockJumped.getAsBoolean()
                && (!strictRevocation
                        || catalogAgeMillis.getAsLong()
                                < maxRevocationDelay.toMillis() - REVOCATION_MARGIN_MILLIS);
    }

    /** Returns whether a route or key that is not in the catalogue may be refused as unknown. */
    public boolean current() {
        return !clockJumped.getAsBoolean() && catalogAgeMillis.getAsLong() < CURRENT_MAX_AGE_MILLIS;
    }
}
