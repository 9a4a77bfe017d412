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
 * A router's part in planned rollouts: follows them, counts its calls, and may be their controller.
 *
 * <p>The first live router in rendezvous order judges all rollouts; the lease under which it acts
 * on the record makes it harmless when two think that they are the first.
 */
public final class RolloutParticipant implements StateSource {
    private static final String CONTROLLER_KEY = "move/controller";
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final int REPORTS_PER_SECOND = 50;
    private static final int MAX_ROWS = 64;
    private static final int MISSED_REPORTS = 4;

    private final String mVm;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final RolloutBoard mBoard;
    private final RolloutGossip mGossip;
    private final CohortFilter mFilter;
    private final VersionTally mTally;
    private final MoveLease mLease;
    private final RolloutController mController;
    private final Map<String, Heard> mHeard = new HashMap<>();
    private Set<String> mListed = Set.of();
    private long mReports;
    private long mTicks;
    private boolean mControls;

    /** Takes part on behalf of the router. */
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
        mBoard = new RolloutBoard(context.events());
        mGossip =
                new RolloutGossip(
                        mVm,
                        mBoard,
                        store,
                        membership,
                        peers,
                        mTimers,
                        context.random(),
                        context.events());
        mFilter = new CohortFilter(mBoard, registry, settings, mVm);
        mTally = new VersionTally(mBoard, registry, mTimers, this::onPlainFault);
        mLease = new MoveLease(mVm + "-" + context.incarnation(), store, mTimers, context.events());
        EngineOrderer orderer = new EngineOrderer(orders, mLease, mTimers, context.events());
        mController =
                new RolloutController(
                        new RolloutController.Platform(
                                mBoard, mGossip, new RolloutStore(store), mLease, orderer),
                        registry,
                        settings,
                        this::routers,
                        mTimers,
                        context.events());
    }

    /** Starts to take part. */
    public void start() {
        mGossip.start();
        mPeers.subscribe(VersionReport.class, this::onReport);
        mTimers.every(TICK, this::tick);
    }

    /** Returns which version each request may go to. */
    public VersionFilter filter() {
        return mFilter;
    }

    /** Returns what is to be told how each call to a backend server ended. */
    public CallObserver observer() {
        return mTally;
    }

    /** Returns whether this router has heard which rollouts there are. */
    public boolean loaded() {
        return mBoard.known();
    }

    private void tick() {
        if (mTicks++ % reportTicks() == 0) {
            report();
        }
        boolean controls = controller().equals(mVm);
        if (controls) {
            mController.tick(hearsHalf());
        } else if (mControls) {
            mController.handOver();
        }
        mControls = controls;
        mHeard.keySet().retainAll(mMembership.peers().stream().map(Peer::vm).toList());
    }

    /** Keeps what the controller hears a second bounded, however many routers there are. */
    private long reportTicks() {
        return 1 + mMembership.peers().size() / REPORTS_PER_SECOND;
    }

    private void onPlainFault(String rollout) {
        if (mBoard.stopHere(rollout)) {
            report();
        }
    }

    private void report() {
        List<VersionReport.Row> rows = mTally.drain();
        VersionReport report =
                new VersionReport(
                        ++mReports, rows.stream().limit(MAX_ROWS).toList(), mBoard.stops());
        if (rows.isEmpty() && mBoard.underWay().isEmpty()) {
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
        @Nullable Heard last = mHeard.put(from, new Heard(report.sequence(), mTimers.nowMillis()));
        boolean repeated = last != null && last.sequence() == report.sequence();
        if (!repeated) {
            mController.onReport(from, report);
        }
    }

    /** A controller that half of the routers cannot reach has too little to judge by. */
    private boolean hearsHalf() {
        long oldest = mTimers.nowMillis() - MISSED_REPORTS * reportTicks() * TICK.toMillis();
        long heard = mHeard.values().stream().filter(last -> last.atMillis() >= oldest).count();
        boolean listed = mListed.isEmpty() || mListed.contains(mVm);
        return listed && 2 * (heard + 1) >= routers();
    }

    /** Counts the routers on the VM list too: to one that is cut off, all others look dead. */
    private int routers() {
        return Math.max(mListed.size(), mMembership.peers().size() + 1);
    }

    private void onVms(List<Vm> vms) {
        mListed =
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
                "known", mBoard.known(),
                "rollouts", mBoard.words(),
                "stopped", mBoard.stops(),
                "controller", controller(),
                "holdsLease", mLease.holds(),
                "fence", mLease.fence());
    }

    /**
     * Whom this part belongs to, and what it is given.
     *
     * @param vm the router's VM
     * @param incarnation differs at each start of the process
     * @param timers the time
     * @param random the source of randomness
     * @param events the log
     */
    public record RouterContext(
            String vm,
            long incarnation,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {}

    /** A peer's newest report, and when it came. */
    private record Heard(long sequence, long atMillis) {}
}
