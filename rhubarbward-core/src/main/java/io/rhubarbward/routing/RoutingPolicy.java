package io.rhubarbward.routing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendStatus;
import java.util.List;

/** Chooses the backend servers that a request may go to. */
public interface RoutingPolicy {
    /**
     * Returns the backend servers in order of preference; empty when none takes new work.
     *
     * @param query the properties of the request
     * @param settings the settings in force
     * @param servers this router's view of the service's servers, whatever their state
     */
    List<BackendServer> candidates(
            RouteQuery query, Settings settings, List<BackendStatus> servers);
}
