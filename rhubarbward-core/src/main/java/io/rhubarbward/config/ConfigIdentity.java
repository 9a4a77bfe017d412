package io.rhubarbward.config;

import java.util.List;

/**
 * The identity of the router that takes part in the distribution of configurations.
 *
 * @param vm the name of the router's VM
 * @param site the site whose settings the router uses
 * @param dataCentre the data centre where the router runs
 * @param address the address at which peers reach the router
 * @param seeds addresses of routers to ask for a configuration, in addition to those on the VM list
 */
public record ConfigIdentity(
        String vm, String site, String dataCentre, String address, List<String> seeds) {
    public ConfigIdentity {
        seeds = List.copyOf(seeds);
    }
}
