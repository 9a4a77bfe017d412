package io.rhubarbward.engine;

/** Why an engine that was warming or ready is treated as cold again. */
public enum ColdReason {
    /** It reports another incarnation: its process restarted. */
    NEW_INCARNATION,
    /** Its count of completed requests fell although it reports the same incarnation. */
    SERVED_FELL,
    /** It lost most of its prefix cache between two reports. */
    CACHE_EMPTIED,
    /** Its first tokens slowed down sharply while those of its peers did not. */
    FIRST_TOKEN_SLOW,
    /** A peer's copy of its report shows a later start of its slow-start ramp. */
    TOLD_BY_PEER
}
