package io.rhubarbward.move;

import io.rhubarbward.config.Service;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.engine.BackendStatus;
import java.util.List;

/**
 * What a service carries, and what its new version's servers can.
 *
 * @param inFlight requests of the service at once, at all its servers
 * @param capacityNow requests that the new version's servers can carry now
 * @param capacityWarm requests that they can carry once all are ready
 */
public record ServiceLoad(int inFlight, int capacityNow, int capacityWarm) {
    private static final double HEADROOM = 1.2;

    /** Returns the load as the registry knows it. */
    static ServiceLoad of(BackendRegistry registry, Service service, String newVersion) {
        List<BackendStatus> servers = registry.servers(service.name());
        List<BackendStatus> fresh =
                servers.stream()
                        .filter(status -> status.server().version().equals(newVersion))
                        .toList();
        return new ServiceLoad(
                servers.stream().mapToInt(BackendStatus::load).sum(),
                fresh.stream().mapToInt(BackendStatus::capacity).sum(),
                fresh.stream()
                        .filter(status -> status.state().takesNewWork())
                        .mapToInt(status -> service.concurrency())
                        .sum());
    }

    /** Returns what the share of the load needs, with room for its swings. */
    double need(int sharePermille) {
        return inFlight * HEADROOM * sharePermille / Rollout.WHOLE_PERMILLE;
    }
}
