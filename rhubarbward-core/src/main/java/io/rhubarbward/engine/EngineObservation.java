package io.rhubarbward.engine;

import io.rhubarbward.hash.RendezvousHash;

/**
 * An engine's load and counters at one moment, from its own report or from a peer's copy.
 *
 * @param takenAtMillis when the report was requested, on this router's clock
 * @param incarnation 32-bit hash of the engine's incarnation, the same at every router
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param rampStart the served count at which its slow-start ramp began
 * @param cachedTokens prompt tokens in its prefix cache; {@link #UNKNOWN_TOKEN_COUNT} in a peer's
 *     copy
 * @param leaving whether it finishes its running requests and takes no new ones
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
    static final long UNKNOWN_TOKEN_COUNT = -1;

    /** Converts an engine's own report, which has no ramp start. */
    static EngineObservation of(LoadReport report, long takenAtMillis) {
        return new EngineObservation(
                takenAtMillis,
                nameHash(report.incarnation()),
                report.running(),
                report.waiting(),
                report.served(),
                0,
                report.cachedTokens(),
                report.leaving());
    }

    /** Returns the 32-bit hash that stands for a name in messages between routers. */
    static int nameHash(String name) {
        return (int) RendezvousHash.hash(name);
    }
}
