package io.rhubarbward.move;

/**
 * A rollout and the version of the platform's object that holds it.
 *
 * @param rollout the rollout
 * @param version the object's version; positive, and grows with each write
 */
public record StoredRollout(Rollout rollout, long version) {}
