package io.rhubarbward.forward;

/**
 * Where a request comes from.
 *
 * @param router the VM name of the router that forwarded it; empty if it comes from the caller
 * @param attemptsLeft the number of servers that may still run it, if the route allows as many
 */
record RequestOrigin(String router, int attemptsLeft) {
    /** A request that comes from its caller. */
    static final RequestOrigin CALLER = new RequestOrigin("", Integer.MAX_VALUE);

    boolean forwarded() {
        return !router.isEmpty();
    }
}
