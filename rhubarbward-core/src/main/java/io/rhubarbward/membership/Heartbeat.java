package io.rhubarbward.membership;

/**
 * Tells a peer that the sender is alive.
 *
 * @param incarnation differs at each start of the sender's process
 * @param generation the configuration that the sender has in force; 0 before the first
 */
public record Heartbeat(long incarnation, long generation) implements PeerMessage {}
