package io.rhubarbward.membership;

/**
 * Tells a peer the sender's address, for a peer that has not read it from the VM list yet.
 *
 * @param dataCentre the sender's data centre
 * @param address host and port of the sender's peer listener
 * @param incarnation identifies the sender's process; greater after each restart
 */
public record Introduction(String dataCentre, String address, long incarnation)
        implements PeerMessage {}
