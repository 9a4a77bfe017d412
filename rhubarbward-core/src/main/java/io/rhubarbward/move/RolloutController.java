package io.rhubarbward.move;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.move.RolloutJudge.Verdict;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Judges rollouts and steps them on.
 *
 * <p>Judging and stopping need no lease, since a stop is always safe. Stepping on, taking back in
 * the record and orders to engines need the lease, and each change of the record is a conditional
 * update. While the platform is out, nothing steps on, and a stop reaches the routers by messages.
 */
final class RolloutController {
    private static final long RECORD_MILLIS = 30_000;
    private static final long LATE_CONFIRM_MILLIS = 10_000;
    private static final int STOPS_THAT_CONDEMN = 2;
    private static final Duration SETTLE_LIMIT = Duration.ofMinutes(2);

    private final RolloutBoard mBoard;
    private final RolloutGossip mGossip;
    private final RolloutStore mStore;
    private final MoveLease mLease;
    private final EngineOrderer mOrderer;
    private final BackendRegistry mRegistry;
    private final Supplier<Optional<Settings>> mSettings;
    private final IntSupplier mRouters;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, RolloutDesk> mDesks = new TreeMap<>();
    private long mNonces;
    private long mSettleUntilMillis;

    RolloutController(
            Platform platform,
            BackendRegistry registry,
            Supplier<Optional<Settings>> settings,
            IntSupplier routers,
            TimerService timers,
            EventLog events) {
        mBoard = platform.board();
        mGossip = platform.gossip();
        mStore = platform.store();
        mLease = platform.lease();
        mOrderer = platform.orderer();
        mRegistry = registry;
        mSettings = settings;
        mRouters = routers;
        mTimers = timers;
        mEvents = events;
    }

    /** Takes a router's counts and stops. */
    void onReport(String vm, VersionReport report) {
        report.rows().forEach(row -> desk(row.rollout()).ifPresent(desk -> count(desk, row)));
        report.stopped().forEach(name -> desk(name).ifPresent(desk -> desk.routerStopped(vm)));
    }

    private void count(RolloutDesk desk, VersionReport.Row row) {
        desk.judge().count(row.route(), row.counts(), mTimers.nowMillis());
    }

    private Optional<RolloutDesk> desk(String name) {
        return mBoard.word(name).filter(word -> !word.state().over()).map(this::desk);
    }

    private RolloutDesk desk(RolloutSummary word) {
        return mDesks.computeIfAbsent(
                word.name(),
                name ->
                        new RolloutDesk(
                                new RolloutJudge(
                                        route ->
                                                mBoard.word(name)
                                                        .map(w -> w.rule(route))
                                                        .orElse(JudgementRule.DEFAULT))));
    }

    /**
     * Does what is due; called every second while this router has the duty.
     *
     * @param hearsFleet whether enough routers report to it; otherwise it lets its lease lapse
     */
    void tick(boolean hearsFleet) {
        long now = mTimers.nowMillis();
        boolean underWay = !mBoard.underWay().isEmpty();
        Map<BackendServer, EngineRole> roles = roles();
        if (underWay) {
            mSettleUntilMillis = now + SETTLE_LIMIT.toMillis();
        }
        boolean unsettled = now < mSettleUntilMillis && !mOrderer.settled(roles);
        if (hearsFleet && (underWay || unsettled)) {
            mLease.tick();
            mOrderer.tick(roles);
        }
        mDesks.keySet().removeIf(name -> desk(name).isEmpty());
        mBoard.underWay().forEach(word -> tick(word, desk(word)));
    }

    /** Forgets what this router judged, because another one has the duty. */
    void handOver() {
        mDesks.clear();
    }

    private void tick(RolloutSummary word, RolloutDesk desk) {
        judge(word, desk);
        if (desk.busy() || !mLease.holds()) {
            return;
        }
        Optional<StoredRollout> record = desk.record(word.version());
        if (record.isEmpty()) {
            refresh(word.name(), desk);
        } else {
            next(desk, record.get().rollout())
                    .ifPresent(changed -> write(desk, changed, record.get().version()));
        }
    }

    private void judge(RolloutSummary word, RolloutDesk desk) {
        Optional<Verdict> found = desk.judge().judge(mTimers.nowMillis());
        int stops = Math.min(STOPS_THAT_CONDEMN, mRouters.getAsInt());
        Optional<Verdict> verdict =
                found.or(
                        () ->
                                desk.stoppedRouters() >= stops
                                        ? Optional.of(
                                                new Verdict(RolloutReason.STOPPED_BY_ROUTERS, ""))
                                        : Optional.empty());
        if (desk.verdict().isEmpty() && verdict.isPresent()) {
            desk.condemn(verdict.get());
            mBoard.stopEverywhere(word.name());
            mGossip.pushStops();
            log(LogEvent.MOVE_FAULT_FOUND, word.name(), verdict.get().reason());
        }
    }

    private void refresh(String name, RolloutDesk desk) {
        desk.busy(true);
        mStore.read(name).thenAccept(read -> onRecord(desk, read));
    }

    private void onRecord(RolloutDesk desk, Either<RolloutFailure, StoredRollout> read) {
        desk.busy(false);
        read.peek(
                stored -> {
                    desk.record(stored);
                    mGossip.learned(stored);
                });
    }

    /** Returns the record after the change that is due, if one is. */
    private Optional<Rollout> next(RolloutDesk desk, Rollout recorded) {
        long now = mTimers.epochMillis();
        if (recorded.state().over()) {
            return Optional.empty();
        }
        Rollout rollout = recorded.counted(desk.judge().unrecorded());
        if (desk.verdict().isPresent()) {
            Verdict verdict = desk.verdict().get();
            return Optional.of(rollout.takenBack(verdict.reason(), verdict.route(), now));
        }
        if (mBoard.stopped(rollout.name())) {
            return Optional.empty();
        }
        return step(desk, rollout, now).or(() -> figures(rollout, now));
    }

    private Optional<Rollout> step(RolloutDesk desk, Rollout rollout, long now) {
        if (rollout.state() == RolloutState.WATCHING) {
            return Pace.watched(rollout, now) ? Optional.of(rollout.done(now)) : Optional.empty();
        }
        ServiceLoad load = load(rollout.plan());
        if (Pace.stepDue(rollout, load, now)) {
            return Optional.of(rollout.atStage(Pace.next(rollout), now));
        }
        Option<RolloutReason> late = Pace.lateness(rollout, load, now);
        boolean confirmed =
                desk.lateMillis(late.isDefined(), mTimers.nowMillis()) >= LATE_CONFIRM_MILLIS;
        return confirmed && rollout.state() != RolloutState.LATE
                ? Optional.of(rollout.late(late.get(), now))
                : Optional.empty();
    }

    private static Optional<Rollout> figures(Rollout rollout, long now) {
        long last = rollout.history().get(rollout.history().size() - 1).atMillis();
        return now - last >= RECORD_MILLIS ? Optional.of(rollout.recorded(now)) : Optional.empty();
    }

    private ServiceLoad load(RolloutPlan plan) {
        Optional<Service> service =
                mSettings.get().map(settings -> settings.services().get(plan.service()));
        return service.map(s -> ServiceLoad.of(mRegistry, s, plan.toVersion()))
                .orElse(new ServiceLoad(0, 0, 0));
    }

    private void write(RolloutDesk desk, Rollout changed, long expectedVersion) {
        PairedFigures counts = desk.judge().unrecorded();
        Rollout signed = changed.signed(mLease.fence(), mLease.nonce(mNonces++));
        if (!mLease.holds()) {
            return;
        }
        desk.busy(true);
        mStore.update(signed, expectedVersion)
                .thenAccept(written -> onWritten(desk, counts, signed, written));
    }

    private void onWritten(
            RolloutDesk desk,
            PairedFigures counts,
            Rollout changed,
            Either<RolloutFailure, StoredRollout> written) {
        desk.busy(false);
        if (written.isRight()) {
            desk.judge().recorded(counts);
            desk.record(written.get());
            mGossip.learned(written.get());
            log(changed.state().event(), changed.name(), changed.reason());
        } else if (written.getLeft() instanceof RolloutFailure.ChangedMeanwhile) {
            refresh(changed.name(), desk);
        }
    }

    private Map<BackendServer, EngineRole> roles() {
        Map<BackendServer, EngineRole> roles = new java.util.HashMap<>();
        mSettings
                .get()
                .map(Settings::services)
                .ifPresent(
                        services ->
                                services.values().stream()
                                        .filter(s -> s.kind() == Service.Kind.ENGINE)
                                        .map(s -> mBoard.deciding(s.name()))
                                        .flatMap(Optional::stream)
                                        .forEach(word -> addRoles(word, roles)));
        return roles;
    }

    private void addRoles(RolloutSummary word, Map<BackendServer, EngineRole> roles) {
        mRegistry.servers(word.service()).stream()
                .filter(status -> status.state().takesNewWork())
                .forEach(
                        status ->
                                role(word, status.server().version())
                                        .ifPresent(role -> roles.put(status.server(), role)));
    }

    private static Optional<EngineRole> role(RolloutSummary word, String version) {
        if (version.equals(word.toVersion())) {
            return Optional.of(word.state().newVersionRole());
        }
        return version.equals(word.fromVersion())
                ? Optional.of(word.state().oldVersionRole())
                : Optional.empty();
    }

    private void log(LogEvent event, String name, RolloutReason reason) {
        mEvents.log(event, EventField.of("rollout", name), EventField.of("reason", reason));
    }

    /**
     * What the controller works through.
     *
     * @param board the words of all rollouts
     * @param gossip brings them to the peers
     * @param store the records
     * @param lease the right to step on
     * @param orderer gives orders to engines
     */
    record Platform(
            RolloutBoard board,
            RolloutGossip gossip,
            RolloutStore store,
            MoveLease lease,
            EngineOrderer orderer) {}
}
