package io.rhubarbward.placement;

/**
 * The load that a backend server reported with an answer.
 *
 * @param running requests that it is running
 * @param waiting requests in its queue
 * @param slots requests that it can run concurrently
 * @param slowdown how long work takes at the time of the answer, as a multiple of what is usual;
 *     above 0
 */
public record ServerLoad(int running, int waiting, int slots, double slowdown) {
    /** Slowdown of a server on which work takes as long as usual, or that does not state it. */
    public static final double USUAL_SLOWDOWN = 1;

    public ServerLoad {
        if (!(slowdown > 0) || Double.isInfinite(slowdown)) {
            throw new IllegalArgumentException(
                    "slowdown=" + slowdown + ": expected a finite number above 0");
        }
    }

    /** Creates the load of a server that does not state its slowdown. */
    public ServerLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, USUAL_SLOWDOWN);
    }
}
