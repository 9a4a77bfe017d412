package io.rhubarbward.node;

import java.util.List;

/**
 * Which router this is.
 *
 * @param vm the name of its VM
 * @param site the site whose settings it follows
 * @param dataCentre where it runs
 * @param incarnation differs at each start of the process
 * @param address host and port at which other routers reach it
 * @param seeds addresses of routers to ask while the platform's VM list cannot be read
 */
public record RouterIdentity(
        String vm,
        String site,
        String dataCentre,
        long incarnation,
        String address,
        List<String> seeds) {
    public RouterIdentity {
        seeds = List.copyOf(seeds);
    }

    /** Identifies a router that is reached only by those who find it in the VM list. */
    public RouterIdentity(String vm, String site, String dataCentre, long incarnation) {
        this(vm, site, dataCentre, incarnation, "", List.of());
    }

    /** Returns a text that no other router and no other start of this one uses. */
    String noncePrefix(long random) {
        return vm
                + "."
                + Long.toString(incarnation, Character.MAX_RADIX)
                + "."
                + Long.toHexString(random);
    }
}
