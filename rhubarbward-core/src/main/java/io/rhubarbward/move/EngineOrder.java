package io.rhubarbward.move;

/**
 * An order to an engine, as an absolute state, so that giving it twice does no harm.
 *
 * @param fence the fencing number of the controller that gives it
 * @param role what the engine is to be
 */
public record EngineOrder(long fence, EngineRole role) {}
