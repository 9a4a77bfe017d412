package io.rhubarbward.move;

import io.rhubarbward.config.Service;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.engine.BackendStatus;
import java.util.List;

/**
 * A service's load, and the capacity of its new version's servers, in concurrent requests.
 *
 * @param inFlight the estimated requests in flight at all of the service's servers
 * @param capacityNow the requests that the new version's servers can carry now
 * @param capacityWarm the requests that they can carry once all of them are warm
 */
public record ServiceLoad(int inFlight, int capacityNow, int capacityWarm) {
    private static final double HEADROOM_FACTOR = 1.2;

    /** Computes the load from the registry. */
    static ServiceLoad of(BackendRegistry registry, Service service, String newVersion) {
        List<BackendStatus> servers = registry.servers(service.name());
        List<BackendStatus> newServers =
                servers.stream()
                        .filter(status -> status.server().version().equals(newVersion))
                        .toList();
        return new ServiceLoad(
                servers.stream().mapToInt(BackendStatus::load).sum(),
                newServers.stream().mapToInt(BackendStatus::capacity).sum(),
                newServers.stream()
                        .filter(status -> status.state().takesNewWork())
                        .mapToInt(status -> service.concurrency())
                        .sum());
    }

    /** Returns the capacity that the share of the load needs, with headroom for fluctuations. */
    double requiredCapacity(int sharePermille) {
        return inFlight * HEADROOM_FACTOR * sharePermille / Rollout.FULL_SHARE_PERMILLE;
    }
}
