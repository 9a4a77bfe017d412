package io.rhubarbward.engine;

/**
 * An engine's report of its own load.
 *
 * @param incarnation changes when the engine's process restarts
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param cachedTokens prompt tokens held in its prefix cache
 * @param leaving whether it finishes its running requests and takes no new ones
 */
public record LoadReport(
        String incarnation,
        int running,
        int waiting,
        long served,
        long cachedTokens,
        boolean leaving) {
    /** Creates the report of an engine that is not leaving. */
    public LoadReport(
            String incarnation, int running, int waiting, long served, long cachedTokens) {
        this(incarnation, running, waiting, served, cachedTokens, false);
    }
}
