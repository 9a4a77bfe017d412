package io.rhubarbward.replay;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.node.RouterIdentity;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.node.RouterPorts;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/** A replay's routers, the VM list that they read with a lag, and the load balancer before them. */
final class ReplayFleet {
    private static final Duration READINESS_CHECK_PERIOD = Duration.ofSeconds(1);

    private final TraceHeader mHeader;
    private final TimerService mTimers;
    private final MemoryObjectStore mStore;
    private final ReplayBackends mBackends;
    private final ReplayPeerNetwork mPeerNetwork;
    private final ReplayEngineOrders mEngineOrders = new ReplayEngineOrders();
    private final SplittableRandom mRandom;
    private final Map<String, Vm> mVms = new TreeMap<>();
    private final Map<String, RouterNode> mRouters = new TreeMap<>();
    private List<Vm> mVisibleVms = List.of();
    private List<RouterNode> mReadyRouters = List.of();
    private int mNextRouterIndex;
    private long mLastIncarnation;

    ReplayFleet(
            TraceHeader header,
            Settings settings,
            TimerService timers,
            MemoryObjectStore store,
            ReplayBackends backends,
            Measures measures,
            long seed) {
        mHeader = header;
        mTimers = timers;
        mStore = store;
        mBackends = backends;
        mPeerNetwork = new ReplayPeerNetwork(timers, measures);
        mRandom = new SplittableRandom(seed);
        settings.backendServers().values().forEach(s -> mVms.put(s.name(), vm(s, Vm.State.LIVE)));
        mVisibleVms = List.copyOf(mVms.values());
        timers.every(READINESS_CHECK_PERIOD, this::checkReadiness);
    }

    private static Vm vm(BackendServer server, Vm.State state) {
        return new Vm(
                server.name(),
                server.dataCentre(),
                Vm.Role.BACKEND,
                server.address(),
                state,
                server.service(),
                server.version());
    }

    ReplayPeerNetwork peerNetwork() {
        return mPeerNetwork;
    }

    Collection<RouterNode> routers() {
        return mRouters.values();
    }

    void startRouter(String vm, String dataCentre) {
        addVm(new Vm(vm, dataCentre, Vm.Role.ROUTER, vm + ":1", Vm.State.LIVE, null, null));
        RouterNode node =
                new RouterNode(
                        new RouterIdentity(
                                vm,
                                mHeader.site(),
                                dataCentre,
                                ++mLastIncarnation,
                                vm + ":1",
                                List.of()),
                        ports(vm));
        mRouters.put(vm, node);
        node.start();
    }

    private RouterPorts ports(String vm) {
        return new RouterPorts(
                mTimers,
                mRandom.split(),
                EventLog.none(),
                mStore,
                () ->
                        EitherStage.completed(
                                mStore.faults().down()
                                        ? Either.left(MemoryObjectStore.DOWN)
                                        : Either.right(mVisibleVms)),
                mBackends,
                mBackends,
                mEngineOrders,
                mPeerNetwork.openEndpoint(vm),
                new PrometheusRegistry());
    }

    /** Drains and removes the router; onStopped gets the number of requests that were cut. */
    void stopRouter(String vm, IntConsumer onStopped) {
        RouterNode node = mRouters.get(vm);
        if (node == null) {
            throw new IllegalArgumentException(
                    "router " + vm + " cannot be stopped: expected a running router");
        }
        setState(vm, Vm.State.LEAVING);
        node.drain(
                cut -> {
                    mRouters.remove(vm);
                    mPeerNetwork.closeEndpoint(vm);
                    mVms.remove(vm);
                    publishVmList();
                    onStopped.accept(cut);
                });
    }

    void markLeaving(String server) {
        setState(server, Vm.State.LEAVING);
    }

    void markLive(String server) {
        setState(server, Vm.State.LIVE);
    }

    private void setState(String name, Vm.State state) {
        mVms.computeIfPresent(
                name,
                (key, vm) ->
                        new Vm(
                                vm.name(),
                                vm.dataCentre(),
                                vm.role(),
                                vm.address(),
                                state,
                                vm.service(),
                                vm.version()));
        publishVmList();
    }

    private void addVm(Vm vm) {
        mVms.put(vm.name(), vm);
        publishVmList();
    }

    /** Makes the routers see the current VMs after the lag. */
    private void publishVmList() {
        List<Vm> vms = List.copyOf(mVms.values());
        mTimers.after(Duration.ofMillis(mHeader.vmListLagMillis()), () -> mVisibleVms = vms);
    }

    /** Updates the routers that the load balancer uses by their readiness. */
    private void checkReadiness() {
        mReadyRouters = mRouters.values().stream().filter(RouterNode::ready).toList();
    }

    /** Returns the next ready router, round robin. */
    Optional<RouterNode> nextRouter() {
        return mReadyRouters.isEmpty()
                ? Optional.empty()
                : Optional.of(mReadyRouters.get(mNextRouterIndex++ % mReadyRouters.size()));
    }
}
