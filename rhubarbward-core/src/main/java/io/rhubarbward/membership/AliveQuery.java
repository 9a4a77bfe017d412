package io.rhubarbward.membership;

/**
 * Asks a peer whether it hears a router that the sender no longer hears.
 *
 * @param vm the router in question
 */
public record AliveQuery(String vm) implements PeerMessage {}
