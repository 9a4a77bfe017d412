package io.rhubarbward.engine;

/** By what an engine was found to be cold again. */
public enum ColdReason {
    /** It reports another incarnation. */
    NEW_INCARNATION,
    /** Its count of completed requests fell within an incarnation. */
    SERVED_FELL,
    /** It lost most of its prefix cache between two reports. */
    CACHE_EMPTIED,
    /** Its first tokens come far later than its own past and than its peers'. */
    FIRST_TOKEN_SLOW,
    /** Another router found it cold. */
    TOLD_BY_PEER
}
