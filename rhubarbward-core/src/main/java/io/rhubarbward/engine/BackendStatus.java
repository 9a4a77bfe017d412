package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * What this router knows of a backend server now.
 *
 * @param server where it is
 * @param state what it can bear
 * @param capacity how many requests it may carry at once
 * @param inFlight requests that this router has there now
 * @param startedSince those of them that were sent after the report was taken
 * @param report its newest load report, if any
 */
public record BackendStatus(
        BackendServer server,
        BackendState state,
        int capacity,
        int inFlight,
        int startedSince,
        @Nullable EngineObservation report) {
    /** Returns the fleet's load there: what it reported, and what this router sent since. */
    public int load() {
        int reported = report == null ? 0 : report.running() + report.waiting();
        return Math.max(inFlight, reported + startedSince);
    }
}
