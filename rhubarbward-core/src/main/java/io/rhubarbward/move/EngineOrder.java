package io.rhubarbward.move;

/**
 * An order that sets an engine's role. It names the absolute role, so giving it twice is
 * idempotent.
 *
 * @param fence the fencing number of the controller that gives the order
 * @param role the role that the engine is to take
 */
public record EngineOrder(long fence, EngineRole role) {}
