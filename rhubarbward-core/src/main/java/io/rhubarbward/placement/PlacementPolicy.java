package io.rhubarbward.placement;

import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Chooses a backend server for a request.
 *
 * <p>Requests with the same affinity key go to the same server from every router: the first one in
 * the key's rendezvous order whose load is below a bound (consistent hashing with bounded loads).
 * Data centres make no difference to this order, since reading a shared prompt part again costs far
 * more than the round trip to another data centre. All other requests go to the least loaded
 * server. A cold server gets at most this router's share of the request rate that it tolerates, and
 * all routers together send a server no more than the limit that it states.
 */
public final class PlacementPolicy {
    /**
     * Shared tokens from which a prompt counts as long: reading that many again adds noticeably to
     * the latency.
     */
    private static final int LONG_PROMPT_MIN_TOKENS = 4000;

    /**
     * Multiple of the mean load up to which long prompts stay at a server. The fleet must keep
     * every server's load below twice the mean plus three requests; this leaves some margin.
     */
    private static final double LONG_PROMPT_LOAD_FACTOR = 1.8;

    /** Requests allowed on top of that multiple; below the three that the fleet's bound allows. */
    private static final double LONG_PROMPT_SLACK_REQUESTS = 2.5;

    /** Multiple of the mean load up to which short prompts stay at a server. */
    private static final double SHORT_PROMPT_LOAD_FACTOR = 1.4;

    /** Requests allowed on top of that multiple. */
    private static final double SHORT_PROMPT_SLACK_REQUESTS = 2;

    /**
     * Part of a server's limit that is left from which only some requests go there, the fewer the
     * less is left: routers learn of each other's requests a little later.
     */
    private static final double LIMIT_TAPER = 0.3;

    /**
     * How much a request's prompt part decides whether it is among those; the rest is chance. The
     * same parts stay at the server, so that the others are read by the next server only.
     */
    private static final double LIMIT_PART_WEIGHT = 0.8;

    /** Requests in a window by which routers notice that a server takes requests again. */
    private static final double MIN_REQUESTS_PER_LIMIT_WINDOW = 1;

    private static final double MILLIS_PER_SECOND = 1000;

    /** Load per slot from which a server gets no further requests. */
    static final double MAX_LOAD_PER_SLOT = 1.5;

    /** Part of a brittle server's slots left from which only some requests go there. */
    private static final double BRITTLE_TAPER = 0.4;

    /** Part of the requests that a brittle server can decline that routers let it decline. */
    private static final double BRITTLE_USED_DECLINES = 0.5;

    /** Longest pause after a brittle server has declined a request. */
    private static final double MAX_BRITTLE_PAUSE_MILLIS = 10_000;

    /** Factor by which the load of a server in another data centre is weighted. */
    private static final double REMOTE_LOAD_FACTOR = 1.3;

    /** Requests added to the weighted load of a server in another data centre. */
    private static final double REMOTE_LOAD_EXTRA_REQUESTS = 2;

    private final String mHomeDataCentre;
    private final TimerService mTimers;
    private final ServerTable mTable;
    private final FleetLimitSplitter mLimitSplitter;
    private final Predicate<String> mIsEvacuated;
    private final VersionChoice mVersions;

    /**
     * Creates a policy that chooses among the servers of the table.
     *
     * @param homeDataCentre the data centre of this router
     * @param isEvacuated whether the named data centre is being evacuated
     */
    public PlacementPolicy(
            String homeDataCentre,
            TimerService timers,
            ServerTable table,
            FleetLimitSplitter limitSplitter,
            Predicate<String> isEvacuated,
            VersionChoice versions) {
        mHomeDataCentre = homeDataCentre;
        mTimers = timers;
        mTable = table;
        mLimitSplitter = limitSplitter;
        mIsEvacuated = isEvacuated;
        mVersions = versions;
    }

    /** Chooses a server for the request, or returns the cause why there is none. */
    public Placement place(PlacementQuery query, ServiceProfile profile) {
        long now = mTimers.nowMillis();
        List<TrackedServer> listed = mTable.servers(query.service());
        if (listed.isEmpty()) {
            return new Placement.None(Placement.Cause.NONE_LISTED, 0);
        }
        List<TrackedServer> usable =
                listed.stream()
                        .filter(server -> server.usable(now))
                        .filter(server -> !mIsEvacuated.test(server.server().dataCentre()))
                        .filter(server -> !query.triedServers().contains(server.server().name()))
                        .toList();
        List<TrackedServer> allowed = mVersions.filter(query.service(), query.unitHash(), usable);
        if (allowed.isEmpty()) {
            return noneUsable(listed, now);
        }
        List<TrackedServer> withinColdLimit =
                allowed.stream().filter(server -> withinColdLimit(server, profile, now)).toList();
        if (withinColdLimit.isEmpty()) {
            return new Placement.None(Placement.Cause.COLD, listed.size());
        }
        List<TrackedServer> withinLimit =
                withinColdLimit.stream()
                        .filter(server -> withinStatedLimit(server, query, now))
                        .toList();
        if (withinLimit.isEmpty()) {
            return new Placement.None(Placement.Cause.LIMITED, listed.size());
        }
        List<TrackedServer> withRoom =
                withinLimit.stream()
                        .filter(server -> hasRoomIfBrittle(server, query, now))
                        .toList();
        if (withRoom.isEmpty()) {
            return new Placement.None(Placement.Cause.FULL, listed.size());
        }
        List<TrackedServer> eligible = preferNotAvoided(withRoom, now);
        return profile.engine()
                ? placeAtEngine(listed, eligible, query, now)
                : placeAtPlainServer(eligible, now);
    }

    private Placement.None noneUsable(List<TrackedServer> listed, long now) {
        OptionalLong restMillis =
                listed.stream()
                        .filter(server -> !server.leaving())
                        .filter(server -> !mIsEvacuated.test(server.server().dataCentre()))
                        .mapToLong(server -> server.restMillis(now))
                        .filter(millis -> millis > 0)
                        .min();
        return restMillis.isPresent()
                ? new Placement.None(Placement.Cause.RESTING, listed.size(), restMillis.getAsLong())
                : new Placement.None(Placement.Cause.NONE_USABLE, listed.size());
    }

    private boolean withinColdLimit(TrackedServer server, ServiceProfile profile, long now) {
        if (!server.cold(now) || profile.coldRequestsPerSecond() <= 0) {
            return true;
        }
        int share =
                mLimitSplitter.share((int) profile.coldRequestsPerSecond(), server.server().name());
        return server.recentSends(now) < share;
    }

    /**
     * Returns whether the server may get the request without more than it states that it takes.
     *
     * <p>What is left of the limit goes to the router that needs it. Without news of the others,
     * each router keeps to its share.
     */
    private boolean withinStatedLimit(TrackedServer server, PlacementQuery query, long now) {
        OptionalDouble limit = server.limitPerSecond();
        if (limit.isEmpty()) {
            return true;
        }
        double allowed =
                Math.max(
                        MIN_REQUESTS_PER_LIMIT_WINDOW,
                        limit.getAsDouble()
                                * TrackedServer.LIMIT_WINDOW_MILLIS
                                / MILLIS_PER_SECOND);
        int own = server.limitWindowSends(now);
        if (!server.knowsOthers(now)) {
            int whole = (int) Math.min(Integer.MAX_VALUE, allowed);
            return own < mLimitSplitter.share(whole, server.server().name());
        }
        double left = 1 - (own + server.limitWindowSendsFromOthers()) / allowed;
        return left > 0 && orderAtLimit(server, query) < left / LIMIT_TAPER;
    }

    /**
     * Returns whether the server may get the request without declining too many.
     *
     * <p>Servers that are brittle get no more than they can run at once, by what all routers have
     * in flight; the fuller one is, the fewer requests go there, since routers learn of each
     * other's requests a little later. After a server has declined a request all the same, this
     * router pauses, so that with all routers it declines less than it can bear.
     */
    private boolean hasRoomIfBrittle(TrackedServer server, PlacementQuery query, long now) {
        OptionalDouble declines = mTable.brittlePerSecond(query.service());
        if (declines.isEmpty()) {
            return true;
        }
        int routers = mLimitSplitter.routerCount();
        double pauseMillis =
                MILLIS_PER_SECOND * routers / (declines.getAsDouble() * BRITTLE_USED_DECLINES);
        if (server.millisSinceShed(now) < Math.min(MAX_BRITTLE_PAUSE_MILLIS, pauseMillis)) {
            return false;
        }
        double left = 1 - (server.estimatedLoad(now, routers) + 1) / server.slots();
        return left >= 0 && query.unitHash() <= left / BRITTLE_TAPER;
    }

    /** Returns where the request stands among those to the server, from 0 for the first to 1. */
    private static double orderAtLimit(TrackedServer server, PlacementQuery query) {
        return query.affinityKey()
                .map(key -> RendezvousHash.unitHash(key + '@' + server.server().name()))
                .map(part -> LIMIT_PART_WEIGHT * part + (1 - LIMIT_PART_WEIGHT) * query.unitHash())
                .orElse(query.unitHash());
    }

    /** Returns the servers that are not avoided, or all of them if every one is. */
    private static List<TrackedServer> preferNotAvoided(List<TrackedServer> servers, long now) {
        List<TrackedServer> notAvoided =
                servers.stream().filter(server -> !server.avoided(now)).toList();
        return notAvoided.isEmpty() ? servers : notAvoided;
    }

    /**
     * Chooses an engine among the eligible ones.
     *
     * @param listed all servers of the service; those that are not eligible count in the mean load
     *     too, which lowers the bound for the others, unless they state a limit
     */
    private Placement placeAtEngine(
            List<TrackedServer> listed,
            List<TrackedServer> eligible,
            PlacementQuery query,
            long now) {
        int routers = mLimitSplitter.routerCount();
        List<Candidate> candidates =
                eligible.stream()
                        .map(server -> new Candidate(server, server.estimatedLoad(now, routers)))
                        .filter(Candidate::hasCapacity)
                        .toList();
        if (candidates.isEmpty()) {
            return new Placement.None(Placement.Cause.FULL, eligible.size());
        }
        double meanLoad =
                withoutStatedLimit(listed).stream()
                        .mapToDouble(server -> server.estimatedLoad(now, routers))
                        .average()
                        .orElse(0);
        double loadBound =
                query.sharedTokens() >= LONG_PROMPT_MIN_TOKENS
                        ? meanLoad * LONG_PROMPT_LOAD_FACTOR + LONG_PROMPT_SLACK_REQUESTS
                        : meanLoad * SHORT_PROMPT_LOAD_FACTOR + SHORT_PROMPT_SLACK_REQUESTS;
        return query.affinityKey()
                .flatMap(key -> firstBelowBound(candidates, key, loadBound))
                .orElseGet(() -> leastLoaded(candidates));
    }

    /**
     * Returns the servers that state no limit, or all if every one does. The others must carry what
     * those with a limit do not take, which is no reason to leave the parts that they have cached.
     */
    private static List<TrackedServer> withoutStatedLimit(List<TrackedServer> servers) {
        List<TrackedServer> unlimited =
                servers.stream().filter(server -> server.limitPerSecond().isEmpty()).toList();
        return unlimited.isEmpty() ? servers : unlimited;
    }

    /** A server with its estimated load at the time of one placement. */
    private record Candidate(TrackedServer server, double load) {
        boolean hasCapacity() {
            return load < server.slots() * MAX_LOAD_PER_SLOT;
        }
    }

    private static Optional<Placement> firstBelowBound(
            List<Candidate> candidates, String affinityKey, double loadBound) {
        List<Candidate> ordered =
                RendezvousHash.order(
                        affinityKey, candidates, candidate -> candidate.server().server().name());
        return ordered.stream()
                .filter(candidate -> candidate.load() < loadBound)
                .findFirst()
                .map(
                        candidate ->
                                new Placement.Chosen(
                                        candidate.server(),
                                        candidate == ordered.get(0)
                                                ? Placement.Reason.AFFINITY
                                                : Placement.Reason.SPILLED));
    }

    private boolean inHomeDataCentre(TrackedServer server) {
        return server.server().dataCentre().equals(mHomeDataCentre);
    }

    private Placement leastLoaded(List<Candidate> candidates) {
        Candidate best =
                candidates.stream()
                        .min(
                                Comparator.comparingDouble(
                                        candidate ->
                                                weightedLoad(candidate.server(), candidate.load())))
                        .orElseThrow();
        return new Placement.Chosen(best.server(), Placement.Reason.LEAST_LOADED);
    }

    private double weightedLoad(TrackedServer server, double load) {
        return inHomeDataCentre(server)
                ? load
                : load * REMOTE_LOAD_FACTOR + REMOTE_LOAD_EXTRA_REQUESTS;
    }

    /**
     * Chooses the server with the fewest of this router's own requests in flight: plain services do
     * not report their load.
     */
    private Placement placeAtPlainServer(List<TrackedServer> servers, long now) {
        TrackedServer best =
                servers.stream()
                        .min(
                                Comparator.comparingDouble(
                                                (TrackedServer server) ->
                                                        server.inFlight()
                                                                + (server.cold(now) ? 1 : 0)
                                                                + (inHomeDataCentre(server)
                                                                        ? 0
                                                                        : 0.5))
                                        .thenComparing(server -> server.server().name()))
                        .orElseThrow();
        return new Placement.Chosen(best, Placement.Reason.LEAST_LOADED);
    }
}
