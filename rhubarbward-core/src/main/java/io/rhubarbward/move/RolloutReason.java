package io.rhubarbward.move;

/** The reason why a rollout is in its state. */
public enum RolloutReason {
    NONE,
    /** An operator requested it. */
    OPERATOR,
    /** The new version fails more calls than the old one does. */
    ERRORS,
    /** The new version's first tokens are slow more often than the old one's. */
    FIRST_TOKEN,
    /** The new version's time between tokens is too long more often than the old one's. */
    BETWEEN_TOKENS,
    /** Two routers, or the only one, stopped the new version because their own calls failed. */
    STOPPED_BY_ROUTERS,
    /** The new version's servers, even if all are warm, cannot carry the last stage's share. */
    CAPACITY,
    /** The remaining stages take longer than the time left until the deadline. */
    TIME
}
