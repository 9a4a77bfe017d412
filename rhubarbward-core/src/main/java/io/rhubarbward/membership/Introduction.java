package io.rhubarbward.membership;

/**
 * Tells a peer where the sender is reached, before the peer's reading of the VM list shows it.
 *
 * @param dataCentre where the sender runs
 * @param address host and port of its peer listener
 * @param incarnation differs at each start of the sender's process
 */
public record Introduction(String dataCentre, String address, long incarnation)
        implements PeerMessage {}
