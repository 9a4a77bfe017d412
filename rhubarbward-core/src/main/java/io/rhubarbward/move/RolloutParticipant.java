package io.rhubarbward.move;

import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.request.CallObserver;
import io.rhubarbward.routing.VersionFilter;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.Vm;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * A router's part in rollouts: it follows them, counts its calls by version, and can be the
 * controller.
 *
 * <p>The first live router in rendezvous order is the controller and judges all rollouts. If two
 * routers both consider themselves the first, the lease lets only one of them change the record.
 */
public final class RolloutParticipant implements StateSource {
    private static final String CONTROLLER_KEY = "move/controller";
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final int MAX_REPORTS_PER_SECOND = 50;
    private static final int MAX_REPORT_ROWS = 64;
    private static final int REPORT_EXPIRY_INTERVALS = 4;

    private final String mVm;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final RolloutView mView;
    private final RolloutGossip mGossip;
    private final CohortFilter mCohortFilter;
    private final VersionCallCounter mCallCounter;
    private final RolloutLease mLease;
    private final RolloutController mController;
    private final Map<String, ReceivedReport> mLastReports = new HashMap<>();
    private Set<String> mListedRouters = Set.of();
    private long mReportSequence;
    private long mTicks;
    private boolean mIsController;

    /** Creates the router's part in rollouts; {@link #start} lets it take part. */
    public RolloutParticipant(
            RouterContext context,
            ObjectStore store,
            EngineOrders orders,
            Membership membership,
            PeerTransport peers,
            BackendRegistry registry,
            Supplier<Optional<Settings>> settings) {
        mVm = context.vm();
        mMembership = membership;
        mPeers = peers;
        mTimers = context.timers();
        mMembership.subscribe(this::onVms);
        mView = new RolloutView(context.events());
        mGossip =
                new RolloutGossip(
                        mVm,
                        mView,
                        store,
                        membership,
                        peers,
                        mTimers,
                        context.random(),
                        context.events());
        mCohortFilter = new CohortFilter(mView, registry, settings, mVm);
        mCallCounter = new VersionCallCounter(mView, registry, mTimers, this::onEvidentFault);
        mLease =
                new RolloutLease(
                        mVm + "-" + context.incarnation(), store, mTimers, context.events());
        EngineRoleReconciler reconciler =
                new EngineRoleReconciler(orders, mLease, mTimers, context.events());
        mController =
                new RolloutController(
                        new RolloutController.Collaborators(
                                mView, mGossip, new RolloutStore(store), mLease, reconciler),
                        registry,
                        settings,
                        this::routerCount,
                        mTimers,
                        context.events());
    }

    /** Starts the gossip, the reports and the controller checks. */
    public void start() {
        mGossip.start();
        mPeers.subscribe(VersionReport.class, this::onReport);
        mTimers.every(TICK, this::tick);
    }

    /** Returns the filter that decides which version each request may go to. */
    public VersionFilter filter() {
        return mCohortFilter;
    }

    /** Returns the observer that counts the outcomes of calls to backend servers. */
    public CallObserver observer() {
        return mCallCounter;
    }

    /** Returns whether this router has the complete list of rollouts. */
    public boolean loaded() {
        return mView.loaded();
    }

    private void tick() {
        if (mTicks++ % reportIntervalTicks() == 0) {
            report();
        }
        boolean isController = controller().equals(mVm);
        if (isController) {
            mController.tick(hearsFromHalf());
        } else if (mIsController) {
            mController.discardEvidence();
        }
        mIsController = isController;
        mLastReports.keySet().retainAll(mMembership.peers().stream().map(Peer::vm).toList());
    }

    /** Lengthens with the fleet, to bound the reports that the controller gets each second. */
    private long reportIntervalTicks() {
        return 1 + mMembership.peers().size() / MAX_REPORTS_PER_SECOND;
    }

    private void onEvidentFault(String rollout) {
        if (mView.stopHere(rollout)) {
            report();
        }
    }

    private void report() {
        List<VersionReport.Row> rows = mCallCounter.drain();
        VersionReport report =
                new VersionReport(
                        ++mReportSequence,
                        rows.stream().limit(MAX_REPORT_ROWS).toList(),
                        mView.stoppedRollouts());
        if (rows.isEmpty() && mView.active().isEmpty()) {
            return;
        }
        String controller = controller();
        if (controller.equals(mVm)) {
            mController.onReport(mVm, report);
        } else {
            peer(controller).ifPresent(peer -> mPeers.send(peer, report));
        }
    }

    private void onReport(String from, VersionReport report) {
        @Nullable ReceivedReport last =
                mLastReports.put(from, new ReceivedReport(report.sequence(), mTimers.nowMillis()));
        boolean repeated = last != null && last.sequence() == report.sequence();
        if (!repeated) {
            mController.onReport(from, report);
        }
    }

    /** With reports from less than half of the routers, the controller has too little evidence. */
    private boolean hearsFromHalf() {
        long oldestMillis =
                mTimers.nowMillis()
                        - REPORT_EXPIRY_INTERVALS * reportIntervalTicks() * TICK.toMillis();
        long heard =
                mLastReports.values().stream()
                        .filter(last -> last.atMillis() >= oldestMillis)
                        .count();
        boolean selfListed = mListedRouters.isEmpty() || mListedRouters.contains(mVm);
        return selfListed && 2 * (heard + 1) >= routerCount();
    }

    /** Counts the listed routers too: to a router that is cut off, all its peers look dead. */
    private int routerCount() {
        return Math.max(mListedRouters.size(), mMembership.peers().size() + 1);
    }

    private void onVms(List<Vm> vms) {
        mListedRouters =
                vms.stream()
                        .filter(vm -> vm.role() == Vm.Role.ROUTER)
                        .filter(vm -> vm.state() == Vm.State.LIVE)
                        .map(Vm::name)
                        .collect(Collectors.toSet());
    }

    private Optional<Peer> peer(String vm) {
        return mMembership.peers().stream().filter(peer -> peer.vm().equals(vm)).findFirst();
    }

    private String controller() {
        List<String> routers =
                Stream.concat(Stream.of(mVm), mMembership.peers().stream().map(Peer::vm)).toList();
        return RendezvousHash.order(CONTROLLER_KEY, routers, Function.identity()).get(0);
    }

    @Override
    public String name() {
        return "move";
    }

    @Override
    public Object state() {
        return Map.of(
                "known", mView.loaded(),
                "rollouts", mView.summaries(),
                "stopped", mView.stoppedRollouts(),
                "controller", controller(),
                "holdsLease", mLease.holds(),
                "fence", mLease.fence());
    }

    /**
     * The router that takes part, and the services of its process.
     *
     * @param vm the name of the router's VM
     * @param incarnation differs at each start of the process
     * @param timers the clock and timers
     * @param random the source of randomness
     * @param events the event log
     */
    public record RouterContext(
            String vm,
            long incarnation,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {}

    /** The sequence number of a peer's last report, and when it was received. */
    private record ReceivedReport(long sequence, long atMillis) {}
}
