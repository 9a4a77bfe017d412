package io.rhubarbward.quota;

/**
 * The size of a limit, which is either on concurrency or on a rate.
 *
 * @param concurrency units that may be in use at once, for a concurrency limit; 0 otherwise
 * @param perSecond units per second, for a rate limit; 0 otherwise
 * @param burst units that a rate limit admits at once after a pause; 0 otherwise
 */
public record QuotaCapacity(int concurrency, double perSecond, int burst) {
    /** Returns a concurrency limit: a bound on the units in use at once. */
    public static QuotaCapacity concurrency(int units) {
        return new QuotaCapacity(units, 0, 0);
    }

    /** Returns a rate limit: a bound on the units per second. */
    public static QuotaCapacity rate(double perSecond, int burst) {
        return new QuotaCapacity(0, perSecond, burst);
    }

    /** Returns whether this is a rate limit, whose units are spent rather than given back. */
    public boolean limitsRate() {
        return perSecond > 0;
    }

    /** Returns whether there is no limit, so that no custodian has to be asked. */
    public boolean unlimited() {
        return concurrency == Integer.MAX_VALUE;
    }
}
