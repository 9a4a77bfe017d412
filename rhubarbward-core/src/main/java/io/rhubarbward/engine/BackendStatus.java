package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * What this router knows of a backend server.
 *
 * @param server where it is
 * @param state what it can bear
 * @param inFlight requests that this router has there now
 * @param report its newest load report, if any
 */
public record BackendStatus(
        BackendServer server, BackendState state, int inFlight, @Nullable LoadReport report) {
    BackendStatus withServer(BackendServer server) {
        return new BackendStatus(server, state, inFlight, report);
    }

    BackendStatus withState(BackendState state) {
        return new BackendStatus(server, state, inFlight, report);
    }

    BackendStatus withInFlight(int inFlight) {
        return new BackendStatus(server, state, inFlight, report);
    }

    BackendStatus withReport(LoadReport report) {
        return new BackendStatus(server, state, inFlight, report);
    }

    /** Returns the load to compare servers by: what it reported, or what this router sent. */
    public int load() {
        int reported = report == null ? 0 : report.running() + report.waiting();
        return Math.max(inFlight, reported);
    }
}
