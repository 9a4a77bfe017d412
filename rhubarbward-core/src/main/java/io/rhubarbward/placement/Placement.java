package io.rhubarbward.placement;

/** The result of placing a request: the chosen server, or the cause why there is none. */
public sealed interface Placement {
    /**
     * The request goes to a server.
     *
     * @param server the chosen server
     * @param reason why it was chosen
     */
    record Chosen(TrackedServer server, Reason reason) implements Placement {}

    /**
     * No server can take the request now.
     *
     * @param cause why not
     * @param candidates the number of servers considered: for {@link Cause#FULL} those that were
     *     eligible, otherwise all listed servers of the service
     * @param restMillis for {@link Cause#RESTING} the time until the first server takes requests
     *     again, otherwise 0
     */
    record None(Cause cause, int candidates, long restMillis) implements Placement {
        None(Cause cause, int candidates) {
            this(cause, candidates, 0);
        }
    }

    /** Why a server was chosen. */
    enum Reason {
        /**
         * First for the affinity key in the rendezvous order, which is the same at every router.
         */
        AFFINITY,
        /** The servers that come first for the affinity key have reached the load bound. */
        SPILLED,
        /** Lowest load. */
        LEAST_LOADED
    }

    /** Why no server can take a request. */
    enum Cause {
        /** The service has no listed server. */
        NONE_LISTED,
        /**
         * Every listed server is draining, suspended, in an evacuated data centre, already tried,
         * or excluded by its version.
         */
        NONE_USABLE,
        /** Every server that would be usable asked this router to leave it alone for a time. */
        RESTING,
        /** Every eligible server has reached its maximum load. */
        FULL,
        /** Every eligible server gets as many requests as it states that it takes. */
        LIMITED,
        /** Every eligible server is cold and has had this router's share of requests. */
        COLD
    }
}
