package io.rhubarbward.catalog;

/** How often a request of a route may run, and whether its answer is a stream. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT {
        @Override
        boolean mayRunAgain(boolean resumable) {
            return true;
        }
    },
    /** May run at most once. */
    NON_IDEMPOTENT {
        @Override
        boolean mayRunAgain(boolean resumable) {
            return false;
        }
    },
    /** Answered by an event stream; may run again only if the route's streams are resumable. */
    STREAMING {
        @Override
        boolean mayRunAgain(boolean resumable) {
            return resumable;
        }
    };

    abstract boolean mayRunAgain(boolean resumable);
}
