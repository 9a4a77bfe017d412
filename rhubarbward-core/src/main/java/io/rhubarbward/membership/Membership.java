package io.rhubarbward.membership;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.platform.PlatformFailure;
import io.rhubarbward.platform.Vm;
import io.rhubarbward.platform.VmList;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Knows which routers and which backend VMs are live. */
public final class Membership implements StateSource {
    private final String mOwnVm;
    private final String mOwnDataCentre;
    private final VmList mVmList;
    private final PeerTransport mTransport;
    private final Supplier<Heartbeat> mHeartbeat;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final List<Consumer<List<Vm>>> mSubscribers = new ArrayList<>();
    private List<Vm> mVms = List.of();
    private final Map<String, Heard> mHeard = new TreeMap<>();
    private boolean mPlatformAvailable = true;

    /** Watches on behalf of the router on the named VM. */
    public Membership(
            String ownVm,
            String ownDataCentre,
            VmList vmList,
            PeerTransport transport,
            Supplier<Heartbeat> heartbeat,
            TimerService timers,
            EventLog events) {
        mOwnVm = ownVm;
        mOwnDataCentre = ownDataCentre;
        mVmList = vmList;
        mTransport = transport;
        mHeartbeat = heartbeat;
        mTimers = timers;
        mEvents = events;
    }

    /** Starts to read the VM list and to exchange heartbeats with the peers on it. */
    public void start(Duration vmListPeriod, Duration heartbeatPeriod) {
        mTransport.subscribe(Heartbeat.class, this::onHeartbeat);
        refresh();
        mTimers.every(vmListPeriod, this::refresh);
        mTimers.every(heartbeatPeriod, this::sendHeartbeats);
    }

    /** Returns the other live routers. */
    public List<Peer> peers() {
        return mVms.stream()
                .filter(vm -> vm.role() == Vm.Role.ROUTER && vm.state() == Vm.State.LIVE)
                .filter(vm -> !vm.name().equals(mOwnVm))
                .map(vm -> new Peer(vm.name(), vm.dataCentre(), vm.address()))
                .toList();
    }

    /**
     * Returns the first live routers of the own data centre in rendezvous order for the key.
     *
     * <p>All routers that agree on who is live agree on the order. The first owns the key; wrong
     * for a second, it costs efficiency or an overshoot, never a promise.
     */
    public List<String> owners(String key, int count) {
        List<String> live =
                mVms.stream()
                        .filter(vm -> vm.role() == Vm.Role.ROUTER && vm.state() == Vm.State.LIVE)
                        .filter(vm -> vm.dataCentre().equals(mOwnDataCentre))
                        .map(Vm::name)
                        .toList();
        return RendezvousHash.order(key, live, Function.identity()).stream().limit(count).toList();
    }

    /** Returns whether this router is the key's first owner. */
    public boolean owns(String key) {
        return owners(key, 1).contains(mOwnVm);
    }

    /** Calls the subscriber with the VM list after each change. */
    public void subscribe(Consumer<List<Vm>> subscriber) {
        mSubscribers.add(subscriber);
    }

    private void sendHeartbeats() {
        Heartbeat heartbeat = mHeartbeat.get();
        peers().forEach(peer -> mTransport.send(peer, heartbeat));
    }

    private void onHeartbeat(String vm, Heartbeat heartbeat) {
        mHeard.put(vm, new Heard(mTimers.nowMillis(), heartbeat));
    }

    private void refresh() {
        mVmList.read().thenAccept(this::onRead);
    }

    private void onRead(Either<PlatformFailure, List<Vm>> read) {
        if (read.isRight() != mPlatformAvailable) {
            mPlatformAvailable = read.isRight();
            logAvailability(read);
        }
        read.peek(this::install);
    }

    private void install(List<Vm> vms) {
        if (!vms.equals(mVms)) {
            mVms = List.copyOf(vms);
            mHeard.keySet().retainAll(vms.stream().map(Vm::name).toList());
            mSubscribers.forEach(subscriber -> subscriber.accept(mVms));
        }
    }

    private void logAvailability(Either<PlatformFailure, List<Vm>> read) {
        if (read.isLeft()) {
            mEvents.log(LogEvent.PLATFORM_UNAVAILABLE, EventField.of("reason", read.getLeft()));
        } else {
            mEvents.log(LogEvent.PLATFORM_AVAILABLE);
        }
    }

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public Object state() {
        return Map.of(
                "vms", mVms,
                "peers", peers(),
                "heard", mHeard,
                "platformAvailable", mPlatformAvailable);
    }

    /**
     * The newest heartbeat of a peer.
     *
     * @param atMillis when it came
     * @param heartbeat what it said
     */
    record Heard(long atMillis, Heartbeat heartbeat) {}
}
