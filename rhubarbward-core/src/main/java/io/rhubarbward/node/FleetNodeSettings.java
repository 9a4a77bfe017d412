package io.rhubarbward.node;

import java.net.InetSocketAddress;

/**
 * Settings of a fleet router, which the platform writes on the router's VM.
 *
 * @param vm the VM's name
 * @param dataCentre the data centre that the VM runs in
 * @param callers the address to listen on for callers
 * @param readiness the address to listen on for the balancer's readiness checks
 * @param peers the address to listen on for other routers
 * @param forwarding the address to listen on for requests that other routers forward
 * @param store host and port of the platform's store
 * @param processorCapacity how many processor cores' work the VM can do; 0 if not known
 * @param maxDescriptors how many descriptors the process may have open; 0 if not known
 * @param bounds the limits that the fleet keeps
 */
public record FleetNodeSettings(
        String vm,
        String dataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress forwarding,
        String store,
        double processorCapacity,
        int maxDescriptors,
        FleetBounds bounds) {
    /** Returns these settings with other ports for routers, such as those that were bound. */
    public FleetNodeSettings withPeerPorts(int peersPort, int forwardingPort) {
        return new FleetNodeSettings(
                vm,
                dataCentre,
                callers,
                readiness,
                new InetSocketAddress(peers.getAddress(), peersPort),
                new InetSocketAddress(forwarding.getAddress(), forwardingPort),
                store,
                processorCapacity,
                maxDescriptors,
                bounds);
    }
}
