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
 * Runs the active rollouts: judges the new versions, advances the stages and rolls back.
 *
 * <p>Judging and stopping need no lease, because a stop is always safe. Advancing a stage,
 * recording a rollback and giving orders to engines need the lease, and each change of the record
 * is a conditional update. During an outage of the platform no rollout advances, and stops reach
 * the routers through peer messages.
 */
final class RolloutController {
    private static final long HISTORY_INTERVAL_MILLIS = 30_000;
    private static final long LATENESS_CONFIRMATION_MILLIS = 10_000;
    private static final int ROUTER_STOPS_FOR_FLEET_STOP = 2;
    private static final Duration ROLE_SETTLE_TIMEOUT = Duration.ofMinutes(2);

    private final RolloutView mView;
    private final RolloutGossip mGossip;
    private final RolloutStore mStore;
    private final RolloutLease mLease;
    private final EngineRoleReconciler mReconciler;
    private final BackendRegistry mRegistry;
    private final Supplier<Optional<Settings>> mSettings;
    private final IntSupplier mRouterCount;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, ActiveRollout> mActive = new TreeMap<>();
    private long mNextNonce;
    private long mRoleSettleDeadlineMillis;

    RolloutController(
            Collaborators collaborators,
            BackendRegistry registry,
            Supplier<Optional<Settings>> settings,
            IntSupplier routerCount,
            TimerService timers,
            EventLog events) {
        mView = collaborators.view();
        mGossip = collaborators.gossip();
        mStore = collaborators.store();
        mLease = collaborators.lease();
        mReconciler = collaborators.reconciler();
        mRegistry = registry;
        mSettings = settings;
        mRouterCount = routerCount;
        mTimers = timers;
        mEvents = events;
    }

    /** Takes a router's call counts and the rollouts that it has stopped. */
    void onReport(String vm, VersionReport report) {
        report.rows().forEach(row -> active(row.rollout()).ifPresent(active -> count(active, row)));
        report.stopped()
                .forEach(name -> active(name).ifPresent(active -> active.routerStopped(vm)));
    }

    private void count(ActiveRollout active, VersionReport.Row row) {
        active.judge().count(row.route(), row.counts(), mTimers.nowMillis());
    }

    private Optional<ActiveRollout> active(String name) {
        return mView.summary(name).filter(summary -> !summary.state().terminal()).map(this::active);
    }

    private ActiveRollout active(RolloutSummary summary) {
        return mActive.computeIfAbsent(
                summary.name(),
                name ->
                        new ActiveRollout(
                                new RolloutJudge(
                                        route ->
                                                mView.summary(name)
                                                        .map(latest -> latest.rule(route))
                                                        .orElse(JudgementRule.DEFAULT))));
    }

    /**
     * Judges and advances the active rollouts; called every second while this router is the
     * controller.
     *
     * @param hearsFromHalf whether at least half of the routers report to this one; otherwise it
     *     does not renew its lease
     */
    void tick(boolean hearsFromHalf) {
        long now = mTimers.nowMillis();
        boolean anyActive = !mView.active().isEmpty();
        Map<BackendServer, EngineRole> roles = desiredRoles();
        if (anyActive) {
            mRoleSettleDeadlineMillis = now + ROLE_SETTLE_TIMEOUT.toMillis();
        }
        boolean rolesUnsettled = now < mRoleSettleDeadlineMillis && !mReconciler.isSettled(roles);
        if (hearsFromHalf && (anyActive || rolesUnsettled)) {
            mLease.tick();
            mReconciler.tick(roles);
        }
        mActive.keySet().removeIf(name -> active(name).isEmpty());
        mView.active().forEach(summary -> tick(summary, active(summary)));
    }

    /**
     * Discards the evidence that this router gathered; called when another becomes the controller.
     */
    void discardEvidence() {
        mActive.clear();
    }

    private void tick(RolloutSummary summary, ActiveRollout active) {
        judge(summary, active);
        if (active.callPending() || !mLease.holds()) {
            return;
        }
        Optional<StoredRollout> record = active.record(summary.version());
        if (record.isEmpty()) {
            reload(summary.name(), active);
        } else {
            nextChange(active, record.get().rollout())
                    .ifPresent(changed -> write(active, changed, record.get().version()));
        }
    }

    private void judge(RolloutSummary summary, ActiveRollout active) {
        Optional<Verdict> ownVerdict = active.judge().judge(mTimers.nowMillis());
        int requiredStops = Math.min(ROUTER_STOPS_FOR_FLEET_STOP, mRouterCount.getAsInt());
        Optional<Verdict> verdict =
                ownVerdict.or(
                        () ->
                                active.stoppedRouterCount() >= requiredStops
                                        ? Optional.of(
                                                new Verdict(RolloutReason.STOPPED_BY_ROUTERS, ""))
                                        : Optional.empty());
        if (active.verdict().isEmpty() && verdict.isPresent()) {
            active.verdict(verdict.get());
            mView.stopEverywhere(summary.name());
            mGossip.pushStops();
            log(LogEvent.MOVE_FAULT_FOUND, summary.name(), verdict.get().reason());
        }
    }

    private void reload(String name, ActiveRollout active) {
        active.callPending(true);
        mStore.read(name).thenAccept(read -> onRecord(active, read));
    }

    private void onRecord(ActiveRollout active, Either<RolloutFailure, StoredRollout> read) {
        active.callPending(false);
        read.peek(
                stored -> {
                    active.record(stored);
                    mGossip.onStoredRollout(stored);
                });
    }

    /** Returns the rollout after the change that is due now, if there is one. */
    private Optional<Rollout> nextChange(ActiveRollout active, Rollout recorded) {
        long now = mTimers.epochMillis();
        if (recorded.state().terminal()) {
            return Optional.empty();
        }
        Rollout rollout = recorded.withCounts(active.judge().unrecorded());
        if (active.verdict().isPresent()) {
            Verdict verdict = active.verdict().get();
            return Optional.of(rollout.takenBack(verdict.reason(), verdict.route(), now));
        }
        if (mView.isStopped(rollout.name())) {
            return Optional.empty();
        }
        return stageChange(active, rollout, now).or(() -> historyStepIfDue(rollout, now));
    }

    private Optional<Rollout> stageChange(ActiveRollout active, Rollout rollout, long now) {
        if (rollout.state() == RolloutState.WATCHING) {
            return StageSchedule.isWatchOver(rollout, now)
                    ? Optional.of(rollout.done(now))
                    : Optional.empty();
        }
        ServiceLoad load = load(rollout.plan());
        if (StageSchedule.isNextStageDue(rollout, load, now)) {
            return Optional.of(rollout.atStage(StageSchedule.nextStage(rollout), now));
        }
        Option<RolloutReason> late = StageSchedule.latenessReason(rollout, load, now);
        boolean confirmed =
                active.predictedLateMillis(late.isDefined(), mTimers.nowMillis())
                        >= LATENESS_CONFIRMATION_MILLIS;
        return confirmed && rollout.state() != RolloutState.LATE
                ? Optional.of(rollout.late(late.get(), now))
                : Optional.empty();
    }

    private static Optional<Rollout> historyStepIfDue(Rollout rollout, long now) {
        long last = rollout.history().get(rollout.history().size() - 1).atMillis();
        return now - last >= HISTORY_INTERVAL_MILLIS
                ? Optional.of(rollout.withHistoryStep(now))
                : Optional.empty();
    }

    private ServiceLoad load(RolloutPlan plan) {
        Optional<Service> service =
                mSettings.get().map(settings -> settings.services().get(plan.service()));
        return service.map(s -> ServiceLoad.of(mRegistry, s, plan.toVersion()))
                .orElse(new ServiceLoad(0, 0, 0));
    }

    private void write(ActiveRollout active, Rollout changed, long expectedVersion) {
        PairedFigures counts = active.judge().unrecorded();
        Rollout update = changed.withWriter(mLease.fence(), mLease.nonce(mNextNonce++));
        if (!mLease.holds()) {
            return;
        }
        active.callPending(true);
        mStore.update(update, expectedVersion)
                .thenAccept(written -> onWritten(active, counts, update, written));
    }

    private void onWritten(
            ActiveRollout active,
            PairedFigures counts,
            Rollout changed,
            Either<RolloutFailure, StoredRollout> written) {
        active.callPending(false);
        if (written.isRight()) {
            active.judge().markRecorded(counts);
            active.record(written.get());
            mGossip.onStoredRollout(written.get());
            log(changed.state().event(), changed.name(), changed.reason());
        } else if (written.getLeft() instanceof RolloutFailure.ChangedMeanwhile) {
            reload(changed.name(), active);
        }
    }

    private Map<BackendServer, EngineRole> desiredRoles() {
        Map<BackendServer, EngineRole> roles = new java.util.HashMap<>();
        mSettings
                .get()
                .map(Settings::services)
                .ifPresent(
                        services ->
                                services.values().stream()
                                        .filter(s -> s.kind() == Service.Kind.ENGINE)
                                        .map(s -> mView.currentFor(s.name()))
                                        .flatMap(Optional::stream)
                                        .forEach(summary -> addRoles(summary, roles)));
        return roles;
    }

    private void addRoles(RolloutSummary summary, Map<BackendServer, EngineRole> roles) {
        mRegistry.servers(summary.service()).stream()
                .filter(status -> status.state().takesNewWork())
                .forEach(
                        status ->
                                desiredRole(summary, status.server().version())
                                        .ifPresent(role -> roles.put(status.server(), role)));
    }

    private static Optional<EngineRole> desiredRole(RolloutSummary summary, String version) {
        if (version.equals(summary.toVersion())) {
            return Optional.of(summary.state().newVersionRole());
        }
        return version.equals(summary.fromVersion())
                ? Optional.of(summary.state().oldVersionRole())
                : Optional.empty();
    }

    private void log(LogEvent event, String name, RolloutReason reason) {
        mEvents.log(event, EventField.of("rollout", name), EventField.of("reason", reason));
    }

    /**
     * The parts of this package that the controller uses.
     *
     * @param view this router's view of all rollouts
     * @param gossip distributes summaries and stops to the peers
     * @param store the stored rollouts
     * @param lease the lease under which rollouts are advanced
     * @param reconciler brings engines to their roles
     */
    record Collaborators(
            RolloutView view,
            RolloutGossip gossip,
            RolloutStore store,
            RolloutLease lease,
            EngineRoleReconciler reconciler) {}
}
