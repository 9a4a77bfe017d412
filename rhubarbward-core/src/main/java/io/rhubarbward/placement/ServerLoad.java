package io.rhubarbward.placement;

/**
 * The load that a backend server reported with an answer.
 *
 * @param running requests that it is running
 * @param waiting requests in its queue
 * @param slots requests that it can run concurrently
 */
public record ServerLoad(int running, int waiting, int slots) {}
