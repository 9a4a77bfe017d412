package io.rhubarbward.membership;

/**
 * A message between two routers; each package defines its own types.
 *
 * <p>The transport serialises them. A router ignores types that it does not know, so that a newer
 * peer can send it new ones.
 */
public interface PeerMessage {}
