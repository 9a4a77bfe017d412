package io.rhubarbward.placement;

import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Chooses a backend server for a request.
 *
 * <p>Requests with the same affinity key go to the same server from every router: the first one in
 * the key's rendezvous order whose load is below a bound (consistent hashing with bounded loads).
 * Data centres make no difference to this order, since reading a shared prompt part again costs far
 * more than the round trip to another data centre. All other requests go to the least loaded
 * server. A cold server gets at most this router's share of the request rate that it tolerates, and
 * all routers together send a server no more than the limit that it states.
 *
 * <p>Once a server has stated a slowdown, the servers' pace counts too, and requests that may go
 * anywhere go to the better of two servers.
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

    /** Requests added to the load of a plain server in another data centre. */
    private static final double REMOTE_PLAIN_EXTRA_REQUESTS = 0.5;

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
                filter(
                        listed,
                        server ->
                                server.usable(now)
                                        && !mIsEvacuated.test(server.server().dataCentre())
                                        && !query.triedServers().contains(server.server().name()));
        List<TrackedServer> allowed = mVersions.filter(query.service(), query.unitHash(), usable);
        if (allowed.isEmpty()) {
            return noneUsable(listed, now);
        }
        List<TrackedServer> withinColdLimit =
                filter(allowed, server -> withinColdLimit(server, profile, now));
        if (withinColdLimit.isEmpty()) {
            return new Placement.None(Placement.Cause.COLD, listed.size());
        }
        List<TrackedServer> withinLimit =
                filter(withinColdLimit, server -> withinStatedLimit(server, query, now));
        if (withinLimit.isEmpty()) {
            return new Placement.None(Placement.Cause.LIMITED, listed.size());
        }
        OptionalDouble declines = mTable.brittlePerSecond(query.service());
        List<TrackedServer> withRoom =
                declines.isEmpty()
                        ? withinLimit
                        : filter(
                                withinLimit,
                                server ->
                                        hasRoomThoughBrittle(
                                                server, declines.getAsDouble(), query, now));
        if (withRoom.isEmpty()) {
            return new Placement.None(Placement.Cause.FULL, listed.size());
        }
        List<TrackedServer> eligible = preferNotAvoided(withRoom, now);
        return profile.engine()
                ? placeAtEngine(listed, eligible, query, now)
                : placeAtPlainServer(listed, eligible, query, now);
    }

    /** Returns the elements that the predicate holds for; a loop, since each placement has many. */
    private static <T> List<T> filter(List<T> elements, Predicate<T> predicate) {
        List<T> kept = new ArrayList<>(elements.size());
        for (T element : elements) {
            if (predicate.test(element)) {
                kept.add(element);
            }
        }
        return kept;
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
     * Returns whether a brittle server may get the request without declining too many.
     *
     * <p>Servers that are brittle get no more than they can run at once, by what all routers have
     * in flight; the fuller one is, the fewer requests go there, since routers learn of each
     * other's requests a little later. After a server has declined a request all the same, this
     * router pauses, so that with all routers it declines less than it can bear.
     */
    private boolean hasRoomThoughBrittle(
            TrackedServer server, double declinesPerSecond, PlacementQuery query, long now) {
        int routers = mLimitSplitter.routerCount();
        double pauseMillis =
                MILLIS_PER_SECOND * routers / (declinesPerSecond * BRITTLE_USED_DECLINES);
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
        List<TrackedServer> notAvoided = filter(servers, server -> !server.avoided(now));
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
        List<Candidate> candidates = new ArrayList<>(eligible.size());
        for (TrackedServer server : eligible) {
            Candidate candidate = new Candidate(server, server.estimatedLoad(now, routers));
            if (candidate.hasCapacity()) {
                candidates.add(candidate);
            }
        }
        if (candidates.isEmpty()) {
            return new Placement.None(Placement.Cause.FULL, eligible.size());
        }
        List<TrackedServer> compared = withoutStatedLimit(listed);
        LoadBound bound = LoadBound.of(query);
        double countBound = bound.of(mean(compared, server -> server.estimatedLoad(now, routers)));
        if (!mTable.slowdownsStated()) {
            return placeByCount(candidates, query, countBound);
        }
        if (query.affinityKey().isPresent()) {
            double pacedBound =
                    bound.of(
                            mean(
                                    compared,
                                    server ->
                                            server.estimatedLoad(now, routers)
                                                    * server.lastingSlowdown(now)));
            return firstInOrder(
                            candidates,
                            query.affinityKey().get(),
                            candidate ->
                                    candidate.load() < countBound
                                            && candidate.load()
                                                            * candidate
                                                                    .server()
                                                                    .lastingSlowdown(now)
                                                    < pacedBound)
                    .orElseGet(() -> placeByCount(candidates, query, countBound));
        }
        List<Candidate> belowBound = filter(candidates, candidate -> candidate.load() < countBound);
        if (belowBound.isEmpty()) {
            return leastLoaded(candidates);
        }
        // The request itself counts, or an idle slow server would look as good as an idle fast one.
        Candidate chosen =
                TwoChoices.choose(
                        belowBound,
                        query.unitHash(),
                        candidate ->
                                weightedLoad(
                                        candidate.server(),
                                        (candidate.load() + 1)
                                                * candidate.server().shortSlowdown(now)));
        return new Placement.Chosen(chosen.server(), Placement.Reason.LEAST_LOADED);
    }

    private Placement placeByCount(
            List<Candidate> candidates, PlacementQuery query, double countBound) {
        return query.affinityKey()
                .flatMap(
                        key ->
                                firstInOrder(
                                        candidates,
                                        key,
                                        candidate -> candidate.load() < countBound))
                .orElseGet(() -> leastLoaded(candidates));
    }

    private static double mean(
            List<TrackedServer> servers, ToDoubleFunction<TrackedServer> figure) {
        double sum = 0;
        for (TrackedServer server : servers) {
            sum += figure.applyAsDouble(server);
        }
        return sum / servers.size();
    }

    /** The highest load of a server that gets a request, by the mean load of the service. */
    private record LoadBound(double factor, double slackRequests) {
        static final LoadBound LONG_PROMPT =
                new LoadBound(LONG_PROMPT_LOAD_FACTOR, LONG_PROMPT_SLACK_REQUESTS);
        static final LoadBound SHORT_PROMPT =
                new LoadBound(SHORT_PROMPT_LOAD_FACTOR, SHORT_PROMPT_SLACK_REQUESTS);

        static LoadBound of(PlacementQuery query) {
            return query.sharedTokens() >= LONG_PROMPT_MIN_TOKENS ? LONG_PROMPT : SHORT_PROMPT;
        }

        double of(double meanLoad) {
            return meanLoad * factor + slackRequests;
        }
    }

    /**
     * Returns the servers that state no limit, or all if every one does. The others must carry what
     * those with a limit do not take, which is no reason to leave the parts that they have cached.
     */
    private static List<TrackedServer> withoutStatedLimit(List<TrackedServer> servers) {
        List<TrackedServer> unlimited =
                filter(servers, server -> server.limitPerSecond().isEmpty());
        return unlimited.isEmpty() ? servers : unlimited;
    }

    /** A server with its estimated load at the time of one placement. */
    private record Candidate(TrackedServer server, double load) {
        boolean hasCapacity() {
            return load < server.slots() * MAX_LOAD_PER_SLOT;
        }
    }

    /** Returns the first candidate in the key's rendezvous order that the predicate holds for. */
    private static Optional<Placement> firstInOrder(
            List<Candidate> candidates, String affinityKey, Predicate<Candidate> mayTake) {
        long keyHash = RendezvousHash.hash(affinityKey);
        @Nullable Candidate home = null;
        @Nullable Candidate first = null;
        long homeWeight = 0;
        long firstWeight = 0;
        for (Candidate candidate : candidates) {
            long weight = RendezvousHash.weight(keyHash, candidate.server().nameHash());
            if (home == null || weight > homeWeight) {
                home = candidate;
                homeWeight = weight;
            }
            if ((first == null || weight > firstWeight) && mayTake.test(candidate)) {
                first = candidate;
                firstWeight = weight;
            }
        }
        return first == null
                ? Optional.empty()
                : Optional.of(
                        new Placement.Chosen(
                                first.server(),
                                first == home
                                        ? Placement.Reason.AFFINITY
                                        : Placement.Reason.SPILLED));
    }

    private boolean inHomeDataCentre(TrackedServer server) {
        return server.server().dataCentre().equals(mHomeDataCentre);
    }

    private Placement leastLoaded(List<Candidate> candidates) {
        Candidate best = candidates.get(0);
        double leastLoad = weightedLoad(best.server(), best.load());
        for (Candidate candidate : candidates) {
            double load = weightedLoad(candidate.server(), candidate.load());
            if (load < leastLoad) {
                best = candidate;
                leastLoad = load;
            }
        }
        return new Placement.Chosen(best.server(), Placement.Reason.LEAST_LOADED);
    }

    private double weightedLoad(TrackedServer server, double load) {
        return inHomeDataCentre(server)
                ? load
                : load * REMOTE_LOAD_FACTOR + REMOTE_LOAD_EXTRA_REQUESTS;
    }

    /**
     * Chooses a server of a plain service, whose servers do not report their load: the one with the
     * fewest of this router's own requests in flight or, once slowdowns are stated, the better of
     * two by what all routers have in flight and by the servers' pace.
     */
    private Placement placeAtPlainServer(
            List<TrackedServer> listed,
            List<TrackedServer> eligible,
            PlacementQuery query,
            long now) {
        if (!mTable.slowdownsStated()) {
            return leastOwnInFlight(eligible, now);
        }
        double bound = LoadBound.LONG_PROMPT.of(mean(listed, server -> server.knownInFlight(now)));
        List<TrackedServer> belowBound =
                filter(eligible, server -> server.knownInFlight(now) < bound);
        OptionalDouble meanMillis = mTable.meanResponseMillis(query.service(), now);
        TrackedServer chosen =
                TwoChoices.choose(
                        belowBound.isEmpty() ? eligible : belowBound,
                        query.unitHash(),
                        server ->
                                (server.knownInFlight(now) + 1) * server.pace(meanMillis, now)
                                        + plainExtraRequests(server, now));
        return new Placement.Chosen(chosen, Placement.Reason.LEAST_LOADED);
    }

    private Placement leastOwnInFlight(List<TrackedServer> servers, long now) {
        TrackedServer best =
                servers.stream()
                        .min(
                                Comparator.comparingDouble(
                                                (TrackedServer server) ->
                                                        server.inFlight()
                                                                + plainExtraRequests(server, now))
                                        .thenComparing(server -> server.server().name()))
                        .orElseThrow();
        return new Placement.Chosen(best, Placement.Reason.LEAST_LOADED);
    }

    /** Returns the requests by which a plain server counts as more loaded than it is. */
    private double plainExtraRequests(TrackedServer server, long now) {
        return (server.cold(now) ? 1 : 0)
                + (inHomeDataCentre(server) ? 0 : REMOTE_PLAIN_EXTRA_REQUESTS);
    }
}
