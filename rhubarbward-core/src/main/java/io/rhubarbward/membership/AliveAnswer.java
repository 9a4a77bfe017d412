package io.rhubarbward.membership;

/**
 * Reply to an {@link AliveQuery}: how long ago the sender last received a heartbeat or introduction
 * from the router itself.
 *
 * @param vm the VM name of the router that was asked about
 * @param ageMillis the time since the sender last heard that router directly
 */
public record AliveAnswer(String vm, long ageMillis) implements PeerMessage {}
