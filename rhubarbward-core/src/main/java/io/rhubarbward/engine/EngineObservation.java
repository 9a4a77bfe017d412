package io.rhubarbward.engine;

import io.rhubarbward.hash.RendezvousHash;

/**
 * What an engine's own report, or a peer's copy of one, says at a time.
 *
 * @param takenAtMillis when the engine was asked, on this router's clock
 * @param incarnation a short form of the engine's incarnation, the same at every router
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param rampStart the count of served requests at which its ramp began
 * @param cachedTokens prompt tokens in its cache; {@link #UNKNOWN} in a peer's copy
 * @param leaving whether it wants no new work
 */
public record EngineObservation(
        long takenAtMillis,
        int incarnation,
        int running,
        int waiting,
        long served,
        long rampStart,
        long cachedTokens,
        boolean leaving) {
    static final long UNKNOWN = -1;

    /** Takes an engine's own report, which says nothing of a ramp. */
    static EngineObservation of(LoadReport report, long takenAtMillis) {
        return new EngineObservation(
                takenAtMillis,
                shortForm(report.incarnation()),
                report.running(),
                report.waiting(),
                report.served(),
                0,
                report.cachedTokens(),
                report.leaving());
    }

    /** Returns 32 bits of a name's hash, as it travels between routers. */
    static int shortForm(String name) {
        return (int) RendezvousHash.hash(name);
    }
}
