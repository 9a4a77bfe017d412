package io.rhubarbward.membership;

/**
 * A message between two routers; each slice defines its own.
 *
 * <p>An edge's codec turns it into bytes. A router ignores kinds that it does not know, so that a
 * newer peer can speak to it.
 */
public interface PeerMessage {}
