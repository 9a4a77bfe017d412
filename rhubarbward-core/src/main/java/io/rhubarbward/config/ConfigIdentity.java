package io.rhubarbward.config;

import java.util.List;

/**
 * What the distribution of configuration knows of its own router.
 *
 * @param vm the name of its VM
 * @param site the site whose settings it follows
 * @param dataCentre where it runs
 * @param address where it listens for peers
 * @param seeds addresses of routers to ask while the platform's VM list cannot be read
 */
public record ConfigIdentity(
        String vm, String site, String dataCentre, String address, List<String> seeds) {
    public ConfigIdentity {
        seeds = List.copyOf(seeds);
    }
}
