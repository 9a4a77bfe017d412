package io.rhubarbward.membership;

/**
 * Indirect probe: asks a peer whether it still hears a router that the sender suspects to be dead.
 *
 * @param vm the VM name of the suspected router
 */
public record AliveQuery(String vm) implements PeerMessage {}
