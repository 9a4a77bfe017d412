package io.rhubarbward.forward;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Whether the catalogue is known to be new enough to trust a caller's key.
 *
 * @param strict whether a key that was taken away must stop working within the time
 * @param revocation within which time it must
 * @param catalogAgeMillis how old this router's knowledge of the catalogue may be
 * @param jumped whether the clocks show a pause since the catalogue was last confirmed
 */
public record CatalogFreshness(
        boolean strict,
        Duration revocation,
        LongSupplier catalogAgeMillis,
        BooleanSupplier jumped) {
    /** Kept back from the time, for what passes between the check and the server. */
    private static final long MARGIN_MILLIS = 400;

    /** Age from which a request that fits nothing may fit a newer catalogue. */
    private static final long CURRENT_MILLIS = 4000;

    /** Returns whether a request with a key may be sent now. */
    public boolean mayTrustKeys() {
        return !jumped.getAsBoolean()
                && (!strict
                        || catalogAgeMillis.getAsLong() < revocation.toMillis() - MARGIN_MILLIS);
    }

    /** Returns whether what the catalogue does not hold may be called unknown. */
    public boolean current() {
        return !jumped.getAsBoolean() && catalogAgeMillis.getAsLong() < CURRENT_MILLIS;
    }
}
