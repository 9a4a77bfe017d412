package io.rhubarbward.placement;

import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses a backend server for a request.
 *
 * <p>Requests that share a part of their prompt go to the same server from every router, by
 * rendezvous order, until it carries its bound; then to the next one in that order. Reading a
 * prompt again costs far more than the way to another data centre. All others go where the load is
 * least. Cold servers get this router's share of what they tolerate.
 */
public final class PlacementPolicy {
    /** Shared tokens from which a prompt is long: reading it again takes part of a latency. */
    private static final int LONG_PROMPT_TOKENS = 4000;

    /**
     * Multiple of the mean load up to which a long prompt stays; below the judged multiple of 2.
     */
    private static final double LONG_PROMPT_FACTOR = 1.8;

    /** Requests above that multiple; below the three that the bound allows. */
    private static final double LONG_PROMPT_SLACK = 2.5;

    /** Multiple of the mean load up to which a short prompt stays. */
    private static final double SHORT_PROMPT_FACTOR = 1.4;

    /** Requests above that multiple. */
    private static final double SHORT_PROMPT_SLACK = 2;

    /** Load in slots from which a server takes nothing more. */
    private static final double FULL_FACTOR = 1.5;

    /** Share of its load by which a server elsewhere must be better than one close by. */
    private static final double DISTANCE_FACTOR = 1.3;

    /** Requests by which a server elsewhere must be better than one close by. */
    private static final double DISTANCE_SLACK = 2;

    private final String mHome;
    private final TimerService mTimers;
    private final ServerTable mTable;
    private final FleetLimitSplitter mLimitSplitter;
    private final Predicate<String> mEmptied;
    private final VersionChoice mVersions;

    /**
     * Chooses among the servers of the table.
     *
     * @param home the data centre of this router
     * @param emptied whether a data centre is being emptied
     */
    public PlacementPolicy(
            String home,
            TimerService timers,
            ServerTable table,
            FleetLimitSplitter limitSplitter,
            Predicate<String> emptied,
            VersionChoice versions) {
        mHome = home;
        mTimers = timers;
        mTable = table;
        mLimitSplitter = limitSplitter;
        mEmptied = emptied;
        mVersions = versions;
    }

    /** Places a request. */
    public Placement place(PlacementQuery query, ServiceProfile profile) {
        long now = mTimers.nowMillis();
        List<KnownServer> listed = mTable.servers(query.service());
        if (listed.isEmpty()) {
            return new Placement.None(Placement.Cause.NONE_LISTED, 0);
        }
        List<KnownServer> usable =
                listed.stream()
                        .filter(server -> server.usable(now))
                        .filter(server -> !mEmptied.test(server.server().dataCentre()))
                        .filter(server -> !query.tried().contains(server.server().name()))
                        .toList();
        List<KnownServer> allowed = mVersions.narrow(query.service(), query.point(), usable);
        if (allowed.isEmpty()) {
            return new Placement.None(Placement.Cause.NONE_USABLE, listed.size());
        }
        List<KnownServer> ready =
                allowed.stream().filter(server -> mayCarry(server, profile, now)).toList();
        if (ready.isEmpty()) {
            return new Placement.None(Placement.Cause.COLD, listed.size());
        }
        List<KnownServer> open = preferSound(ready, now);
        return profile.engine() ? engine(listed, open, query, now) : plain(open, now);
    }

    private boolean mayCarry(KnownServer server, ServiceProfile profile, long now) {
        if (!server.cold(now) || profile.coldRequestsPerSecond() <= 0) {
            return true;
        }
        int share =
                mLimitSplitter.share((int) profile.coldRequestsPerSecond(), server.server().name());
        return server.recentSends(now) < share;
    }

    private static List<KnownServer> preferSound(List<KnownServer> servers, long now) {
        List<KnownServer> sound = servers.stream().filter(server -> !server.avoided(now)).toList();
        return sound.isEmpty() ? servers : sound;
    }

    /**
     * Chooses an engine among those that may be used.
     *
     * @param listed all of the service: those that may not be used lower the mean that bounds the
     *     rest
     */
    private Placement engine(
            List<KnownServer> listed, List<KnownServer> usable, PlacementQuery query, long now) {
        int routers = mLimitSplitter.routerCount();
        List<Loaded> open =
                usable.stream()
                        .map(server -> new Loaded(server, server.load(now, routers)))
                        .filter(Loaded::hasRoom)
                        .toList();
        if (open.isEmpty()) {
            return new Placement.None(Placement.Cause.FULL, usable.size());
        }
        double mean =
                listed.stream()
                        .mapToDouble(server -> server.load(now, routers))
                        .average()
                        .orElse(0);
        double bound =
                query.sharedTokens() >= LONG_PROMPT_TOKENS
                        ? mean * LONG_PROMPT_FACTOR + LONG_PROMPT_SLACK
                        : mean * SHORT_PROMPT_FACTOR + SHORT_PROMPT_SLACK;
        return query.affinity()
                .flatMap(key -> firstBelow(open, key, bound))
                .orElseGet(() -> leastLoaded(open));
    }

    /** A server and its load at the time of one placement. */
    private record Loaded(KnownServer server, double load) {
        boolean hasRoom() {
            return load < server.slots() * FULL_FACTOR;
        }
    }

    private static Optional<Placement> firstBelow(List<Loaded> open, String key, double bound) {
        List<Loaded> ordered =
                RendezvousHash.order(key, open, candidate -> candidate.server().server().name());
        return ordered.stream()
                .filter(candidate -> candidate.load() < bound)
                .findFirst()
                .map(
                        candidate ->
                                new Placement.Chosen(
                                        candidate.server(),
                                        candidate == ordered.get(0)
                                                ? Placement.Reason.AFFINITY
                                                : Placement.Reason.SPILLED));
    }

    private boolean near(KnownServer server) {
        return server.server().dataCentre().equals(mHome);
    }

    private Placement leastLoaded(List<Loaded> open) {
        Loaded best =
                open.stream()
                        .min(
                                Comparator.comparingDouble(
                                        candidate ->
                                                distance(candidate.server(), candidate.load())))
                        .orElseThrow();
        return new Placement.Chosen(best.server(), Placement.Reason.LEAST_LOADED);
    }

    private double distance(KnownServer server, double load) {
        return near(server) ? load : load * DISTANCE_FACTOR + DISTANCE_SLACK;
    }

    /** Plain services say nothing of their load, so that each router balances what is its own. */
    private Placement plain(List<KnownServer> servers, long now) {
        KnownServer best =
                servers.stream()
                        .min(
                                Comparator.comparingDouble(
                                                (KnownServer server) ->
                                                        server.inFlight()
                                                                + (server.cold(now) ? 1 : 0)
                                                                + (near(server) ? 0 : 0.5))
                                        .thenComparing(server -> server.server().name()))
                        .orElseThrow();
        return new Placement.Chosen(best, Placement.Reason.LEAST_LOADED);
    }
}
