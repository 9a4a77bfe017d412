package io.rhubarbward.routing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendStatus;
import io.rhubarbward.hash.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Sends each chat to the same backend server while that one's load stays near the mean.
 *
 * <p>Servers below the bound come first, each part in the chat's rendezvous order. Requests without
 * a chat go to the least loaded first. Data centres that are out are left out; the router's own
 * data centre goes before others for requests without a chat.
 */
public final class BoundedAffinity implements RoutingPolicy {
    private final VersionFilter mVersions;

    /** Sends requests to the versions that the filter admits. */
    public BoundedAffinity(VersionFilter versions) {
        mVersions = versions;
    }

    @Override
    public List<BackendServer> candidates(
            RouteQuery query, Settings settings, List<BackendStatus> servers) {
        List<BackendStatus> open =
                servers.stream()
                        .filter(status -> status.state().takesNewWork())
                        .filter(status -> mVersions.admits(status.server(), query))
                        .filter(status -> settings.takesWork(status.server().dataCentre()))
                        .toList();
        List<BackendStatus> ordered =
                query.chat()
                        .map(chat -> RendezvousHash.order(chat, open, s -> s.server().name()))
                        .orElseGet(() -> byLoad(open, query.homeDataCentre()));
        Predicate<BackendStatus> belowBound = belowBound(settings, open);
        return Stream.concat(
                        ordered.stream().filter(belowBound),
                        ordered.stream().filter(belowBound.negate()))
                .map(BackendStatus::server)
                .toList();
    }

    private static List<BackendStatus> byLoad(List<BackendStatus> open, String home) {
        return open.stream()
                .sorted(
                        Comparator.comparingInt(BackendStatus::load)
                                .thenComparing(s -> !s.server().dataCentre().equals(home)))
                .toList();
    }

    private static Predicate<BackendStatus> belowBound(
            Settings settings, List<BackendStatus> open) {
        double mean = open.stream().mapToInt(BackendStatus::load).average().orElse(0);
        double bound = Math.ceil((mean + 1) * settings.routing().boundedLoadMultiple());
        return status -> status.load() < bound;
    }
}
