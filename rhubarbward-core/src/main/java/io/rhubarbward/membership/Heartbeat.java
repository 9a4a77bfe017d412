package io.rhubarbward.membership;

/**
 * Sent to every known router once per heartbeat period, to show that the sender is alive.
 *
 * @param incarnation identifies the sender's process; greater after each restart
 * @param generation the configuration generation that the sender has in force; 0 before the first
 */
public record Heartbeat(long incarnation, long generation) implements PeerMessage {}
