package io.rhubarbward.membership;

/**
 * Says how long ago the sender heard a router directly.
 *
 * @param vm the router in question
 * @param ageMillis the time since its last heartbeat
 */
public record AliveAnswer(String vm, long ageMillis) implements PeerMessage {}
