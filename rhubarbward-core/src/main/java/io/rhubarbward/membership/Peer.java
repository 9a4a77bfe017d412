package io.rhubarbward.membership;

/**
 * Another router and its address.
 *
 * @param vm the name of its VM
 * @param dataCentre its data centre; empty if unknown
 * @param address host and port of its peer listener
 */
public record Peer(String vm, String dataCentre, String address) {}
