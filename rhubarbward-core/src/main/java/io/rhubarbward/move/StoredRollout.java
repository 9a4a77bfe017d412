package io.rhubarbward.move;

/**
 * A rollout and the version of the object that holds it.
 *
 * @param rollout the record
 * @param version grows with each write; positive
 */
public record StoredRollout(Rollout rollout, long version) {}
