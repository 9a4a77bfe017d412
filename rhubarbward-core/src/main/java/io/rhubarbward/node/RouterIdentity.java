package io.rhubarbward.node;

/**
 * Which router this is.
 *
 * @param vm the name of its VM
 * @param site the site whose settings it follows
 * @param dataCentre where it runs
 * @param incarnation differs at each start of the process
 */
public record RouterIdentity(String vm, String site, String dataCentre, long incarnation) {
    /** Returns a text that no other router and no other start of this one uses. */
    String noncePrefix(long random) {
        return vm
                + "."
                + Long.toString(incarnation, Character.MAX_RADIX)
                + "."
                + Long.toHexString(random);
    }
}
