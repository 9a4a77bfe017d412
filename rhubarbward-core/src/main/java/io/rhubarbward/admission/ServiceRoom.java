package io.rhubarbward.admission;

/**
 * An estimate of what the servers of a service can hold and what they hold.
 *
 * @param capacity places of all servers that take new requests
 * @param occupied places that requests in flight take
 * @param ageMillis age of the newest figures of other routers, whether or not they are recent
 *     enough to be counted in
 */
public record ServiceRoom(double capacity, double occupied, long ageMillis) {
    /**
     * Utilisation from which routers report their counts by account. It is below the utilisation at
     * which admission needs them, so that they have arrived by then.
     */
    private static final double MIN_REPORTED_UTILISATION = 0.5;

    /** Returns whether routers tell each other how many places each account takes. */
    public boolean needsAccountCounts() {
        return utilisation(0) >= MIN_REPORTED_UTILISATION;
    }

    /** Returns the part of the capacity that is occupied, with this many places more. */
    public double utilisation(double additionalPlaces) {
        return capacity <= 0 ? 1 : (occupied + additionalPlaces) / capacity;
    }
}
