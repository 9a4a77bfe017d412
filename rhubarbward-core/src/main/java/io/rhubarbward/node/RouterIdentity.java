package io.rhubarbward.node;

import java.util.List;

/**
 * Identifies a router and one start of its process.
 *
 * @param vm the name of its VM
 * @param site the site whose settings it follows
 * @param dataCentre the data centre that it runs in
 * @param incarnation a number that differs at each start of the process
 * @param address host and port at which other routers reach it
 * @param seeds addresses of routers to contact while the platform's VM list cannot be read
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

    /** Identifies a router without seeds that peers can find only through the VM list. */
    public RouterIdentity(String vm, String site, String dataCentre, long incarnation) {
        this(vm, site, dataCentre, incarnation, "", List.of());
    }

    /** Returns a prefix for nonces that no other router and no other start of this one uses. */
    String noncePrefix(long random) {
        return vm
                + "."
                + Long.toString(incarnation, Character.MAX_RADIX)
                + "."
                + Long.toHexString(random);
    }
}
