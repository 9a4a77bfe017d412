package io.rhubarbward.placement;

import io.rhubarbward.directory.DirectoryListener;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The backend servers in the directory, each with its tracked load and health. */
public final class ServerTable implements DirectoryListener {
    /** How long the statements of a server are kept that is no longer listed. */
    private static final Duration STATEMENT_RETENTION = Duration.ofMinutes(2);

    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, TrackedServer> mServersById = new HashMap<>();
    private final Map<String, List<TrackedServer>> mServersByService = new HashMap<>();
    private final Map<String, BrittleService> mBrittleServices = new HashMap<>();
    private final Map<Long, ServerStatements> mStatementsByIncarnation = new HashMap<>();
    private final List<Consumer<TrackedServer>> mRemovalSubscribers = new ArrayList<>();
    private final List<Runnable> mSendSubscribers = new ArrayList<>();
    private boolean mOthersKnowLimits;
    private boolean mSlowdownsStated;

    /** Half the minimum, so that subtracting it from a time cannot overflow. */
    private long mOthersUpdatedMillis = Long.MIN_VALUE / 2;

    /** Creates an empty table. */
    public ServerTable(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
    }

    /** Calls the subscriber with each server, or incarnation of one, that leaves the directory. */
    public void subscribeToRemovals(Consumer<TrackedServer> subscriber) {
        mRemovalSubscribers.add(subscriber);
    }

    /** Returns the servers of the service. */
    public List<TrackedServer> servers(String service) {
        return mServersByService.getOrDefault(service, List.of());
    }

    /** Returns all servers. */
    public List<TrackedServer> servers() {
        return List.copyOf(mServersById.values());
    }

    @Override
    public void onAdded(ListedServer entry) {
        ServerStatements statements =
                mStatementsByIncarnation.computeIfAbsent(
                        TrackedServer.incarnation(entry), incarnation -> new ServerStatements());
        TrackedServer server = new TrackedServer(entry, statements, mTimers.nowMillis());
        mServersById.put(entry.id(), server);
        mServersByService
                .computeIfAbsent(entry.server().service(), service -> new ArrayList<>())
                .add(server);
    }

    @Override
    public void onUpdated(ListedServer entry) {
        Optional.ofNullable(mServersById.get(entry.id()))
                .ifPresent(server -> server.update(entry, mTimers.nowMillis()));
    }

    @Override
    public void onRemoved(ListedServer entry) {
        TrackedServer removed = mServersById.remove(entry.id());
        if (removed != null) {
            removed.unlist();
            mServersByService
                    .getOrDefault(entry.server().service(), new ArrayList<>())
                    .remove(removed);
            mTimers.after(STATEMENT_RETENTION, () -> forgetStatementsUnlessListed(removed));
            mRemovalSubscribers.forEach(subscriber -> subscriber.accept(removed));
        }
    }

    private void forgetStatementsUnlessListed(TrackedServer removed) {
        TrackedServer listed = mServersById.get(removed.server().name());
        if (listed == null || listed.incarnation() != removed.incarnation()) {
            mStatementsByIncarnation.remove(removed.incarnation());
        }
    }

    /** Records that an answer of the server says that it shuts down. */
    public void recordLeaving(TrackedServer server) {
        if (server.sayLeaving()) {
            mEvents.log(
                    LogEvent.BACKEND_SAYS_LEAVING,
                    EventField.of("server", server.server().name()),
                    EventField.of("service", server.server().service()),
                    EventField.of("listedAs", server.entry().draining() ? "draining" : "ready"));
        }
    }

    /**
     * Records how many requests a second a server can decline without falling over.
     *
     * @param perSecond empty if its answer does not say, NaN if what it says makes no sense
     */
    public void recordBrittle(TrackedServer server, OptionalDouble perSecond) {
        if (perSecond.isEmpty() && mBrittleServices.isEmpty()) {
            return;
        }
        String service = server.server().service();
        OptionalDouble before = brittlePerSecond(service);
        BrittleService brittle =
                mBrittleServices.computeIfAbsent(service, name -> new BrittleService());
        brittle.recordAnswer(perSecond, mTimers.nowMillis());
        OptionalDouble after = brittlePerSecond(service);
        if (!after.equals(before)) {
            mEvents.log(
                    LogEvent.BACKEND_BRITTLE_CHANGED,
                    EventField.of("service", service),
                    EventField.of("server", server.server().name()),
                    EventField.of("declinesPerSecond", text(after)),
                    EventField.of("before", text(before)));
        }
    }

    /**
     * Returns how many requests a second each server of the service can decline; empty if its
     * servers are not brittle.
     */
    OptionalDouble brittlePerSecond(String service) {
        BrittleService brittle = mBrittleServices.get(service);
        return brittle == null ? OptionalDouble.empty() : brittle.declinesPerSecond();
    }

    /** Records the load that an answer of the server reports. */
    public void recordLoad(TrackedServer server, ServerLoad load) {
        long now = mTimers.nowMillis();
        server.recordLoad(load, now);
        mSlowdownsStated |= load.slowdown() != ServerLoad.USUAL_SLOWDOWN;
        if (mSlowdownsStated) {
            server.recordSlowdown(load.slowdown(), now);
            logPaceChange(server, server.lastingSlowdown(now), "stated");
        }
    }

    /**
     * Records how long a server of a plain service, which reports no load, took to respond. Nothing
     * is recorded while no server has stated a slowdown.
     */
    public void recordResponseTime(TrackedServer server, long millis) {
        if (mSlowdownsStated) {
            long now = mTimers.nowMillis();
            server.recordResponseTime(millis, now);
            OptionalDouble mean = meanResponseMillis(server.server().service(), now);
            logPaceChange(server, server.pace(mean, now), "answers");
        }
    }

    private void logPaceChange(TrackedServer server, double slowdown, String source) {
        if (server.paceChanged(slowdown, mTimers.nowMillis())) {
            mEvents.log(
                    LogEvent.BACKEND_PACE_CHANGED,
                    EventField.of("server", server.server().name()),
                    EventField.of("service", server.server().service()),
                    EventField.of("slowdown", slowdown),
                    EventField.of("source", source));
        }
    }

    /**
     * Returns whether a server has stated a slowdown other than the usual one, the sign that
     * servers share their machines with others.
     */
    boolean slowdownsStated() {
        return mSlowdownsStated;
    }

    /** Returns the mean response time of the service's servers; empty if none is known. */
    OptionalDouble meanResponseMillis(String service, long nowMillis) {
        return servers(service).stream()
                .flatMapToDouble(server -> server.responseMillis(nowMillis).stream())
                .average();
    }

    /** Returns the lasting slowdowns by server name; empty while no server has stated one. */
    Map<String, Double> slowdowns() {
        if (!mSlowdownsStated) {
            return Map.of();
        }
        long now = mTimers.nowMillis();
        Map<String, Double> slowdowns = new TreeMap<>();
        mServersByService.forEach(
                (service, servers) -> {
                    OptionalDouble mean = meanResponseMillis(service, now);
                    // A server states its slowdown or is timed; the other factor is 1.
                    servers.forEach(
                            server ->
                                    slowdowns.put(
                                            server.server().name(),
                                            server.lastingSlowdown(now) * server.pace(mean, now)));
                });
        return slowdowns;
    }

    /** Records that a server that declined a request wants no other one for a time. */
    public void recordRest(TrackedServer server, Duration rest) {
        server.askForRest(rest, mTimers.nowMillis());
        mEvents.log(
                LogEvent.BACKEND_RESTS,
                EventField.of("server", server.server().name()),
                EventField.of("service", server.server().service()),
                EventField.of("askedMs", rest.toMillis()),
                EventField.of("restMs", server.restMillis(mTimers.nowMillis())));
    }

    /**
     * Updates the number of requests in flight from all other routers together.
     *
     * @param inFlight counts by {@link TrackedServer#hash(String)}; a missing server has none
     */
    public void updateInFlightFromOthers(Map<Integer, Integer> inFlight) {
        long now = mTimers.nowMillis();
        mOthersUpdatedMillis = now;
        mServersById
                .values()
                .forEach(
                        server ->
                                server.updateInFlightFromOthers(
                                        inFlight.getOrDefault(server.hash(), 0), now));
    }

    /** Returns the time since the other routers last announced their requests in flight. */
    long othersAgeMillis() {
        return mTimers.nowMillis() - mOthersUpdatedMillis;
    }

    /** Calls the subscriber whenever this router sends a request to a server. */
    public void subscribeToSends(Runnable subscriber) {
        mSendSubscribers.add(subscriber);
    }

    /** Records that a request is being sent to the server. */
    public void recordSend(TrackedServer server) {
        server.recordSend(mTimers.nowMillis());
        mSendSubscribers.forEach(Runnable::run);
    }

    /**
     * Records the limit that an answer of the server states.
     *
     * @param stated requests a second from all routers together; empty if it states none, NaN if it
     *     makes no sense
     */
    public void recordLimit(TrackedServer server, OptionalDouble stated) {
        long now = mTimers.nowMillis();
        changeLimit(server, "answer", () -> server.recordLimit(stated, now));
    }

    /**
     * Updates what all other routers together know of the servers' limits.
     *
     * @param observations by {@link TrackedServer#hash(String)}
     */
    public void updateLimitsFromOthers(Map<Integer, LimitObservation> observations) {
        if (observations.isEmpty() && !mOthersKnowLimits) {
            return;
        }
        mOthersKnowLimits = !observations.isEmpty();
        long now = mTimers.nowMillis();
        LimitObservation none =
                new LimitObservation(OptionalDouble.empty(), LimitObservation.NEVER_HEARD, 0);
        mServersById
                .values()
                .forEach(
                        server ->
                                changeLimit(
                                        server,
                                        "routers",
                                        () ->
                                                server.updateLimitFromOthers(
                                                        observations.getOrDefault(
                                                                server.hash(), none),
                                                        now)));
    }

    private void changeLimit(TrackedServer server, String source, Runnable change) {
        long now = mTimers.nowMillis();
        OptionalDouble before = server.limitPerSecond();
        change.run();
        OptionalDouble after = server.limitPerSecond();
        if (!after.equals(before)) {
            mEvents.log(
                    LogEvent.BACKEND_LIMIT_CHANGED,
                    EventField.of("server", server.server().name()),
                    EventField.of("perSecond", text(after)),
                    EventField.of("before", text(before)),
                    EventField.of("from", source));
        }
    }

    private static String text(OptionalDouble limit) {
        return limit.isEmpty() ? "none" : String.valueOf(limit.getAsDouble());
    }

    /**
     * Records the result of a request to the server.
     *
     * @param coldStart how long the server counts as cold if it may have restarted; zero if servers
     *     of its service are never cold
     */
    public void recordResult(TrackedServer server, SendResult result, Duration coldStart) {
        boolean wasCold = server.cold(mTimers.nowMillis());
        server.recordResult(result, mTimers.nowMillis());
        treatAsColdAfter(server, result, coldStart, wasCold);
    }

    /** Records a failure of a request whose end has been recorded before. */
    public void recordFailure(TrackedServer server, SendResult result, Duration coldStart) {
        boolean wasCold = server.cold(mTimers.nowMillis());
        server.recordHealth(result, mTimers.nowMillis());
        treatAsColdAfter(server, result, coldStart, wasCold);
    }

    private void treatAsColdAfter(
            TrackedServer server, SendResult result, Duration coldStart, boolean wasCold) {
        if (result.mayHaveRestarted() && !coldStart.isZero()) {
            server.treatAsCold(mTimers.nowMillis(), coldStart);
            if (!wasCold) {
                mEvents.log(
                        LogEvent.ENGINE_COLD_AGAIN,
                        EventField.of("server", server.server().name()),
                        EventField.of("because", result));
            }
        }
    }

    /**
     * Forgets what failures since the time made this router believe of the servers' health and cold
     * starts, after it has turned out that they were due to its own links.
     */
    public void forgetFailuresSince(long sinceMillis) {
        mServersById.values().forEach(server -> server.forgetFailuresSince(sinceMillis));
    }
}
