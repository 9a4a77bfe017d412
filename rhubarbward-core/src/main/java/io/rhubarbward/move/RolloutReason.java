package io.rhubarbward.move;

/** Why a rollout is in its state. */
public enum RolloutReason {
    NONE,
    /** An operator asked for it. */
    OPERATOR,
    /** The new version fails more calls than the old one does. */
    ERRORS,
    /** The new version's first tokens come late more often. */
    FIRST_TOKEN,
    /** The new version's tokens come slowly more often. */
    BETWEEN_TOKENS,
    /** Several routers stopped the new version on what they saw themselves. */
    STOPPED_BY_ROUTERS,
    /** The new version's servers cannot carry the next share. */
    CAPACITY,
    /** The stages that are left take longer than the time that is left. */
    TIME
}
