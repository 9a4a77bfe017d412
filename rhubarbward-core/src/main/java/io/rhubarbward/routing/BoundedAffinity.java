package io.rhubarbward.routing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendStatus;
import io.rhubarbward.hash.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Session affinity with bounded loads: each chat goes to the same backend server for as long as
 * that server's load is within its bound.
 *
 * <p>A chat's home is the first server in its rendezvous order, which all routers compute alike
 * without exchanging messages. Servers of the home's data centre come before others. A server at
 * its bound gets no more quota permits, so the request goes to the next server in the order: see
 * {@link io.rhubarbward.engine.BackendRegistry#capacity}. The order does not depend on reported
 * load, because routers that see the same late figures all choose the same seemingly idle server.
 *
 * <p>Requests without a chat go to the server with the fewest requests of this router relative to
 * its capacity. Ties are broken in favour of the router's own data centre, then round-robin.
 * Servers in data centres that are out are excluded.
 */
public final class BoundedAffinity implements RoutingPolicy {
    private final VersionFilter mVersions;
    private int mRoundRobinStart;

    /** Creates a policy that considers only servers whose version the filter admits. */
    public BoundedAffinity(VersionFilter versions) {
        mVersions = versions;
    }

    @Override
    public List<BackendServer> candidates(
            RouteQuery query, Settings settings, List<BackendStatus> servers) {
        List<BackendStatus> eligible =
                servers.stream()
                        .filter(status -> mVersions.admits(status.server(), query))
                        .filter(status -> settings.takesWork(status.server().dataCentre()))
                        .toList();
        List<BackendStatus> ordered =
                query.chat()
                        .map(chat -> affinityOrder(chat, eligible))
                        .orElseGet(() -> leastLoadedFirst(eligible, query.homeDataCentre()));
        return ordered.stream()
                .filter(status -> status.state().takesNewWork())
                .map(BackendStatus::server)
                .toList();
    }

    /**
     * Orders the servers for a chat. The home is determined from all eligible servers, whatever
     * their state, so that the chat stays in its data centre while its home is unavailable.
     */
    private static List<BackendStatus> affinityOrder(String chat, List<BackendStatus> eligible) {
        List<BackendStatus> order =
                RendezvousHash.order(chat, eligible, status -> status.server().name());
        Optional<String> homeDataCentre =
                order.stream().findFirst().map(status -> status.server().dataCentre());
        Comparator<BackendStatus> homeDataCentreFirst =
                Comparator.comparing(
                        status ->
                                !homeDataCentre.equals(Optional.of(status.server().dataCentre())));
        return order.stream().sorted(homeDataCentreFirst).toList();
    }

    private List<BackendStatus> leastLoadedFirst(
            List<BackendStatus> eligible, String ownDataCentre) {
        int first = mRoundRobinStart++;
        Comparator<BackendStatus> byInFlightPerCapacity =
                Comparator.comparingDouble(
                        status -> (double) status.inFlight() / Math.max(1, status.capacity()));
        return IntStream.range(0, eligible.size())
                .mapToObj(i -> eligible.get(Math.floorMod(first + i, eligible.size())))
                .sorted(
                        byInFlightPerCapacity.thenComparing(
                                status -> !status.server().dataCentre().equals(ownDataCentre)))
                .toList();
    }
}
