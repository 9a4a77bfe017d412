package io.rhubarbward.quota;

/**
 * How large a limit is.
 *
 * @param concurrency units in use at once, for a limit on concurrency; 0 otherwise
 * @param perSecond units a second, for a limit on a rate; 0 otherwise
 * @param burst units that a rate lets through at once
 */
public record QuotaCapacity(int concurrency, double perSecond, int burst) {
    /** Returns a limit on units in use at once. */
    public static QuotaCapacity concurrency(int units) {
        return new QuotaCapacity(units, 0, 0);
    }

    /** Returns a limit on units a second. */
    public static QuotaCapacity rate(double perSecond, int burst) {
        return new QuotaCapacity(0, perSecond, burst);
    }

    /** Returns whether units are spent in time rather than given back. */
    public boolean rate() {
        return perSecond > 0;
    }

    /** Returns whether there is no limit, so that nobody needs to be asked. */
    public boolean unlimited() {
        return concurrency == Integer.MAX_VALUE;
    }
}
