package io.rhubarbward.move;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.forward.SendObserver;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Carries out the rollout orders in the store, or undoes them.
 *
 * <p>While an order is open, a small share of the service's requests goes to the target. All
 * routers judge it by the figures of all routers, against the other servers over the same time. A
 * router that finds a fault stops to use the target at once; those that call the store write the
 * outcome, and the first write counts. From shortly before the deadline, requests move to a target
 * without a fault: first as many as its servers carry while the others count in the mean load, then
 * all for a moment. Then the order is completed, and the other servers may be stopped at once.
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class FleetRollouts
        implements KindListener<RolloutOrder>, VersionChoice, SendObserver {
    /** Share of the requests that a target on trial gets, as a part of what it may get. */
    private static final double USED_EXPOSURE = 0.4;

    /** Part of the order's time before the deadline at which requests move to a good target. */
    private static final int SHIFT_TIME_DIVISOR = 15;

    /** Time for which the target gets what its servers can carry beside the others. */
    private static final long PARTIAL_SHIFT_MILLIS = 2000;

    /** Time for which it then gets all requests, so that most others end before completion. */
    private static final long FULL_SHIFT_MILLIS = 1000;

    /**
     * Load of the target's servers as a multiple of the service's mean during the partial shift;
     * the fleet must keep it below twice the mean.
     */
    private static final double PARTIAL_SHIFT_LOAD_FACTOR = 1.7;

    /** Calls at the target without which it is not judged, so that the order is undone. */
    private static final int MIN_JUDGED_CALLS = 12;

    private static final Duration TICK = Duration.ofMillis(250);

    /** Time after which a write that was not confirmed is repeated. */
    private static final long WRITE_RETRY_MILLIS = 1000;

    private static final Set<SendResult> FAILURES =
            Set.of(
                    SendResult.SERVER_ERROR,
                    SendResult.BROKEN,
                    SendResult.RESET,
                    SendResult.SILENT,
                    SendResult.TIMED_OUT);

    private final double mExposureShare;
    private final ServerTable mTable;
    private final BooleanSupplier mCallsStore;
    private final RolloutStatusWriter mWriter;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, ServiceRollout> mRollouts = new TreeMap<>();
    private final Map<String, RouteBaseline> mBaselines = new HashMap<>();

    /**
     * Creates an empty set of rollouts; {@link #start} starts to act on them.
     *
     * @param exposureShare the largest share of a service's requests that a bad target may get
     * @param callsStore whether this router writes to the store
     */
    public FleetRollouts(
            double exposureShare,
            ServerTable table,
            BooleanSupplier callsStore,
            RolloutStatusWriter writer,
            TimerService timers,
            EventLog events) {
        mExposureShare = exposureShare;
        mTable = table;
        mCallsStore = callsStore;
        mWriter = writer;
        mTimers = timers;
        mEvents = events;
    }

    /** Starts to act on orders as time passes. */
    public void start() {
        mTimers.every(TICK, () -> mRollouts.values().forEach(this::advance));
    }

    /** An order with what this router knows of its target. */
    private static final class ServiceRollout {
        private final String mName;
        private final long mSeenMillis;
        private final RolloutJudge mJudge = new RolloutJudge(route -> JudgementRule.DEFAULT);
        private final Map<String, PairedFigures> mOwn = new TreeMap<>();
        private final Map<String, PairedFigures> mJudged = new HashMap<>();
        private RolloutOrder mOrder;
        private StoreRevision mRevision = StoreRevision.NONE;
        private int mJudgedCalls;
        private Optional<RolloutOrder.State> mOutcome = Optional.empty();
        private long mWrittenMillis = Long.MIN_VALUE / 2;

        ServiceRollout(String name, RolloutOrder order, long nowMillis) {
            mName = name;
            mOrder = order;
            mSeenMillis = nowMillis;
        }

        /** Returns the outcome in the store, or else the one that this router would write. */
        Optional<RolloutOrder.State> outcome() {
            return mOrder.state().ended() ? Optional.of(mOrder.state()) : mOutcome;
        }

        /**
         * Returns whether this is the order, perhaps in another state, and no newer one. A store
         * that was restored may have lost the outcome of the order.
         */
        private boolean isFor(DecodedObject<RolloutOrder> item, RolloutOrder order) {
            boolean reopened =
                    mOrder.state().ended()
                            && !order.state().ended()
                            && item.revision().isInEraOf(mRevision);
            return mName.equals(item.name()) && mOrder.target().equals(order.target()) && !reopened;
        }

        private void update(RolloutOrder order, StoreRevision revision) {
            if (!revision.isInEraOf(mRevision)) {
                mOutcome = outcome();
            }
            mOrder = order;
            mRevision = revision;
        }

        /** Returns for how long requests have been moving to the target; negative before. */
        private long shiftingMillis(long nowMillis) {
            long durationMillis = mOrder.duration().toMillis();
            return nowMillis - mSeenMillis - durationMillis + durationMillis / SHIFT_TIME_DIVISOR;
        }

        private String key(String route) {
            return mOrder.service() + ' ' + mOrder.target() + ' ' + route;
        }
    }

    @Override
    public void onSnapshot(List<DecodedObject<RolloutOrder>> items) {
        Set<String> listed = items.stream().map(DecodedObject::name).collect(Collectors.toSet());
        mRollouts.values().removeIf(rollout -> !listed.contains(rollout.mName));
        items.forEach(this::onItem);
    }

    @Override
    public void onItem(DecodedObject<RolloutOrder> item) {
        if (item.value().isLeft()) {
            mEvents.log(
                    LogEvent.MOVE_RECORD_UNREADABLE,
                    EventField.of("rollout", item.name()),
                    EventField.of("reason", item.value().getLeft()));
            return;
        }
        RolloutOrder order = item.value().get();
        ServiceRollout known = mRollouts.get(order.service());
        ServiceRollout rollout =
                known != null && known.isFor(item, order)
                        ? known
                        : new ServiceRollout(item.name(), order, mTimers.nowMillis());
        if (rollout != known || rollout.mOrder.state() != order.state()) {
            mEvents.log(
                    LogEvent.MOVE_PLANNED,
                    EventField.of("rollout", item.name()),
                    EventField.of("target", order.target()),
                    EventField.of("durationMs", order.duration().toMillis()),
                    EventField.of("state", order.state()),
                    EventField.of("revision", item.revision()));
        }
        rollout.update(order, item.revision());
        mRollouts.put(order.service(), rollout);
    }

    @Override
    public void onDeleted(String name) {
        mRollouts.values().removeIf(rollout -> rollout.mName.equals(name));
    }

    @Override
    public List<TrackedServer> filter(
            String service, double unitHash, List<TrackedServer> candidates) {
        ServiceRollout rollout = mRollouts.get(service);
        if (rollout == null) {
            return candidates;
        }
        Map<Boolean, List<TrackedServer>> byTarget =
                candidates.stream()
                        .collect(Collectors.partitioningBy(server -> isTarget(rollout, server)));
        List<TrackedServer> target = byTarget.getOrDefault(true, List.of());
        List<TrackedServer> others = byTarget.getOrDefault(false, List.of());
        Optional<RolloutOrder.State> outcome = rollout.outcome();
        if (outcome.filter(RolloutOrder.State.ROLLED_BACK::equals).isPresent()) {
            return others;
        }
        boolean toTarget = outcome.isPresent() || unitHash < targetShare(rollout, target.size());
        return toTarget && !target.isEmpty() ? target : others;
    }

    private double targetShare(ServiceRollout rollout, int targetServers) {
        long shiftingMillis = rollout.shiftingMillis(mTimers.nowMillis());
        if (shiftingMillis < 0 || rollout.mJudgedCalls < MIN_JUDGED_CALLS) {
            return mExposureShare * USED_EXPOSURE;
        }
        if (shiftingMillis < PARTIAL_SHIFT_MILLIS) {
            int servers = mTable.servers(rollout.mOrder.service()).size();
            return PARTIAL_SHIFT_LOAD_FACTOR * targetServers / Math.max(1, servers);
        }
        return 1;
    }

    private static boolean isTarget(ServiceRollout rollout, TrackedServer server) {
        return server.server().version().equals(rollout.mOrder.target());
    }

    @Override
    public void onTimed(
            TrackedServer server, Route route, long firstByteMillis, double millisPerByte) {
        ServiceRollout rollout = mRollouts.get(server.server().service());
        boolean target = rollout != null && isTarget(rollout, server);
        boolean warm = !server.cold(mTimers.nowMillis());
        RouteBaseline baseline =
                mBaselines.computeIfAbsent(route.name(), name -> new RouteBaseline());
        if (rollout != null) {
            boolean timed = warm && baseline.known();
            // A target's servers have no prompts cached at first, so that only an answer later than
            // the route aims for counts as slow to begin.
            boolean slowFirst =
                    baseline.slowFirstByte(firstByteMillis)
                            && (!route.streams()
                                    || firstByteMillis > route.targetLatency().toMillis());
            count(
                    rollout,
                    route,
                    target,
                    new VersionFigures(
                            1,
                            0,
                            timed ? 1 : 0,
                            timed && slowFirst ? 1 : 0,
                            timed && baseline.slowPace(millisPerByte) ? 1 : 0));
        }
        if (warm && !target) {
            baseline.add(firstByteMillis, millisPerByte);
        }
    }

    @Override
    public void onEnded(TrackedServer server, Route route, SendResult result) {
        ServiceRollout rollout = mRollouts.get(server.server().service());
        if (rollout != null && FAILURES.contains(result)) {
            count(rollout, route, isTarget(rollout, server), new VersionFigures(1, 1, 0, 0, 0));
        }
    }

    private static void count(
            ServiceRollout rollout, Route route, boolean target, VersionFigures figures) {
        rollout.mOwn.merge(
                rollout.key(route.name()),
                target
                        ? new PairedFigures(VersionFigures.ZERO, figures)
                        : new PairedFigures(figures, VersionFigures.ZERO),
                PairedFigures::plus);
    }

    /** Returns this router's figures of open rollouts, by service, target and route. */
    public Map<String, PairedFigures> figures() {
        Map<String, PairedFigures> figures = new HashMap<>();
        mRollouts.values().stream()
                .filter(rollout -> rollout.outcome().isEmpty())
                .forEach(rollout -> figures.putAll(rollout.mOwn));
        return figures;
    }

    /** Judges the targets by the figures of all routers together, keyed likewise. */
    public void onTotals(Map<String, PairedFigures> totals) {
        mRollouts.values().stream()
                .filter(rollout -> rollout.outcome().isEmpty())
                .forEach(rollout -> judge(rollout, totals));
    }

    private void judge(ServiceRollout rollout, Map<String, PairedFigures> totals) {
        String prefix = rollout.key("");
        totals.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .forEach(
                        entry ->
                                judgeNew(
                                        rollout,
                                        entry.getKey().substring(prefix.length()),
                                        entry.getValue()));
        rollout.mJudge
                .judge(mTimers.nowMillis())
                .ifPresent(verdict -> decide(rollout, RolloutOrder.State.ROLLED_BACK, verdict));
    }

    /** Counts what was added since the last totals. Figures of a router that has ended go away. */
    private void judgeNew(ServiceRollout rollout, String route, PairedFigures total) {
        PairedFigures before = rollout.mJudged.getOrDefault(route, PairedFigures.ZERO);
        PairedFigures added = total.minus(before).atLeastZero();
        rollout.mJudged.put(route, total);
        rollout.mJudgedCalls += added.newVersion().timed();
        rollout.mJudge.count(route, added, mTimers.nowMillis());
    }

    private void decide(
            ServiceRollout rollout, RolloutOrder.State outcome, RolloutJudge.Verdict verdict) {
        rollout.mOutcome = Optional.of(outcome);
        mEvents.log(
                LogEvent.MOVE_FAULT_FOUND,
                EventField.of("rollout", rollout.mName),
                EventField.of("target", rollout.mOrder.target()),
                EventField.of("reason", verdict.reason()),
                EventField.of("route", verdict.route()),
                EventField.of("timedCalls", rollout.mJudgedCalls),
                EventField.of("ageMs", mTimers.nowMillis() - rollout.mSeenMillis));
        advance(rollout);
    }

    private void advance(ServiceRollout rollout) {
        if (rollout.mOrder.state().ended()) {
            return;
        }
        long now = mTimers.nowMillis();
        long shiftingMillis = rollout.shiftingMillis(now);
        if (rollout.mOutcome.isEmpty() && shiftingMillis >= 0) {
            Optional<RolloutJudge.Verdict> obstacle =
                    rollout.mJudgedCalls < MIN_JUDGED_CALLS
                            ? Optional.of(new RolloutJudge.Verdict(RolloutReason.TIME, ""))
                            : rollout.mJudge.doubt();
            if (obstacle.isPresent()) {
                decide(rollout, RolloutOrder.State.ROLLED_BACK, obstacle.get());
                return;
            }
            if (shiftingMillis >= PARTIAL_SHIFT_MILLIS
                    && (othersIdle(rollout)
                            || shiftingMillis >= PARTIAL_SHIFT_MILLIS + FULL_SHIFT_MILLIS)) {
                rollout.mOutcome = Optional.of(RolloutOrder.State.COMPLETED);
            }
        }
        RolloutOrder.State due = rollout.mOutcome.orElse(RolloutOrder.State.RUNNING);
        if (due != rollout.mOrder.state()
                && mCallsStore.getAsBoolean()
                && now - rollout.mWrittenMillis >= WRITE_RETRY_MILLIS) {
            write(rollout, due);
        }
    }

    private boolean othersIdle(ServiceRollout rollout) {
        return mTable.servers(rollout.mOrder.service()).stream()
                .filter(server -> !isTarget(rollout, server))
                .allMatch(server -> server.inFlight() + server.inFlightFromOthers() <= 0);
    }

    private void write(ServiceRollout rollout, RolloutOrder.State state) {
        rollout.mWrittenMillis = mTimers.nowMillis();
        mWriter.write(rollout.mName, rollout.mOrder.target(), state, rollout.mRevision)
                .thenAccept(
                        written ->
                                mEvents.log(
                                        LogEvent.MOVE_STEPPED,
                                        EventField.of("rollout", rollout.mName),
                                        EventField.of("target", rollout.mOrder.target()),
                                        EventField.of("state", state),
                                        EventField.of("revision", rollout.mRevision),
                                        EventField.of("written", written)));
    }
}
