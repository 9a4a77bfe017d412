package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * This router's current view of a backend server.
 *
 * @param server its name, service, address and version
 * @param state its lifecycle state
 * @param capacity how many requests it may carry at once
 * @param inFlight requests of this router that are open there
 * @param startedSince how many of these were sent at or after the time of the report
 * @param report its newest load report, if any
 */
public record BackendStatus(
        BackendServer server,
        BackendState state,
        int capacity,
        int inFlight,
        int startedSince,
        @Nullable EngineObservation report) {
    /** Estimates its load from all routers: the reported load plus what this router sent since. */
    public int load() {
        int reported = report == null ? 0 : report.running() + report.waiting();
        return Math.max(inFlight, reported + startedSince);
    }
}
