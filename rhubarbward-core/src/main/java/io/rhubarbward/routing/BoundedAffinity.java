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
 * Sends each chat to the same backend server for as long as that one has room.
 *
 * <p>A chat's home is the first server in its rendezvous order, on which all routers agree without
 * a message. Servers of the home's data centre go before others. A server whose load is past the
 * bound grants no permit, and the request goes to the next in the order: see {@link
 * io.rhubarbward.engine.BackendRegistry#capacity}. Nothing here looks at reported load, because
 * routers that see the same late figures all choose the same seemingly idle server.
 *
 * <p>Requests without a chat go round the servers with the fewest of this router's own requests.
 * Data centres that are out are left out.
 */
public final class BoundedAffinity implements RoutingPolicy {
    private final VersionFilter mVersions;
    private int mTurn;

    /** Sends requests to the versions that the filter admits. */
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
                        .map(chat -> chatOrder(chat, eligible))
                        .orElseGet(() -> fewestFirst(eligible, query.homeDataCentre()));
        return ordered.stream()
                .filter(status -> status.state().takesNewWork())
                .map(BackendStatus::server)
                .toList();
    }

    /** Takes the home from all servers, so that a home that flaps keeps its data centre. */
    private static List<BackendStatus> chatOrder(String chat, List<BackendStatus> eligible) {
        List<BackendStatus> order =
                RendezvousHash.order(chat, eligible, status -> status.server().name());
        Optional<String> home =
                order.stream().findFirst().map(status -> status.server().dataCentre());
        Comparator<BackendStatus> homeFirst =
                Comparator.comparing(
                        status -> !home.equals(Optional.of(status.server().dataCentre())));
        return order.stream().sorted(homeFirst).toList();
    }

    private List<BackendStatus> fewestFirst(List<BackendStatus> eligible, String home) {
        int first = mTurn++;
        Comparator<BackendStatus> byOwnLoad =
                Comparator.comparingDouble(
                        status -> (double) status.inFlight() / Math.max(1, status.capacity()));
        return IntStream.range(0, eligible.size())
                .mapToObj(i -> eligible.get(Math.floorMod(first + i, eligible.size())))
                .sorted(byOwnLoad.thenComparing(s -> !s.server().dataCentre().equals(home)))
                .toList();
    }
}
