package io.rhubarbward.membership;

/**
 * Another router.
 *
 * @param vm the name of its VM
 * @param dataCentre where it runs
 * @param address host and port of its peer listener
 */
public record Peer(String vm, String dataCentre, String address) {}
