package io.rhubarbward.engine;

/**
 * What an engine said of itself, some time ago.
 *
 * @param incarnation changes when the engine's process restarts
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param cachedTokens prompt tokens held in its prefix cache
 * @param leaving whether it finishes what it has and wants no new work
 */
public record LoadReport(
        String incarnation,
        int running,
        int waiting,
        long served,
        long cachedTokens,
        boolean leaving) {
    /** Describes an engine that stays. */
    public LoadReport(
            String incarnation, int running, int waiting, long served, long cachedTokens) {
        this(incarnation, running, waiting, served, cachedTokens, false);
    }
}
