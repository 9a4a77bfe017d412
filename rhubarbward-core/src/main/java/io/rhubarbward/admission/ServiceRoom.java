package io.rhubarbward.admission;

/**
 * An estimate of what the servers of a service can hold and what they hold.
 *
 * @param capacity places of all servers that take new requests
 * @param occupied places that requests in flight take
 * @param ageMillis age of the figures of other routers that are counted in
 */
public record ServiceRoom(double capacity, double occupied, long ageMillis) {
    /** Returns the part of the capacity that is occupied, with this many places more. */
    public double utilisation(double additionalPlaces) {
        return capacity <= 0 ? 1 : (occupied + additionalPlaces) / capacity;
    }
}
