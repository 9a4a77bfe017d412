package io.rhubarbward.membership;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.VmList;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Detects which routers are live, and assigns keys to them by rendezvous hashing.
 *
 * <pre>{@code
 * membership.subscribe(listener);
 * membership.start(Duration.ofSeconds(2), Duration.ofSeconds(1));
 * Optional<String> custodian = membership.siteOwner("backend/assistant-3");
 * }</pre>
 *
 * <p>A router is live while its heartbeats arrive. When they stop, it is suspected, other routers
 * are asked whether they hear it (indirect probes), and it is then dead unless one does. A router
 * owns no keys just because it is on the VM list, and stays a member when the list cannot be read.
 * All routers that agree on who is live agree on every key's owners.
 */
public final class Membership implements StateSource {
    private static final int MAX_INDIRECT_PROBES = 3;

    private final String mOwnVm;
    private final String mOwnDataCentre;
    private final VmList mVmList;
    private final PeerTransport mTransport;
    private final Supplier<Heartbeat> mHeartbeat;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final List<Consumer<List<Vm>>> mVmListSubscribers = new ArrayList<>();
    private final List<MembershipListener> mListeners = new ArrayList<>();
    private final FlapDamping mOwnFlapDamping = new FlapDamping();
    private List<Vm> mVms = List.of();
    private MemberTable mTable;
    private PauseDetector mPauseDetector;
    private Map<String, Boolean> mLastOwnershipView = Map.of();
    private String mOwnAddress = "";
    private List<Peer> mSeeds = List.of();
    private boolean mPlatformAvailable = true;
    private boolean mVmListRead;
    private boolean mVmListAnswered;
    // Caches siteOwner, since ordering all routers is the most expensive step of a quota permit.
    // Cleared every heartbeat period, since the end of this router's flap damping depends
    // on the time.
    private final Map<String, Optional<String>> mSiteOwnerCache = new HashMap<>();

    /** Creates the membership of the router on the named VM; {@link #start} starts it. */
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
        mTable = new MemberTable(ownVm, Duration.ofSeconds(1), events);
        mPauseDetector = new PauseDetector(Duration.ofSeconds(1), timers.nowMillis());
    }

    /**
     * Lets this router introduce itself to the seeds until it has read the VM list, so that it
     * finds its peers when it starts while the platform is unavailable.
     *
     * @param ownAddress host and port at which peers reach this router
     * @param seeds addresses of routers that may be running
     */
    public void introduceTo(String ownAddress, List<String> seeds) {
        mOwnAddress = ownAddress;
        mSeeds = seeds.stream().map(seed -> new Peer("seed " + seed, "", seed)).toList();
    }

    /** Starts to read the VM list and to exchange heartbeats with the peers on it. */
    public void start(Duration vmListPeriod, Duration heartbeatPeriod) {
        mTable = new MemberTable(mOwnVm, heartbeatPeriod, mEvents);
        mPauseDetector = new PauseDetector(heartbeatPeriod, mTimers.nowMillis());
        mTransport.subscribe(Heartbeat.class, this::onHeartbeat);
        mTransport.subscribe(Introduction.class, this::onIntroduction);
        mTransport.subscribe(AliveQuery.class, this::onAliveQuery);
        mTransport.subscribe(AliveAnswer.class, this::onAliveAnswer);
        readVmList();
        mTimers.every(vmListPeriod, this::readVmList);
        mTimers.every(heartbeatPeriod, this::onHeartbeatPeriod);
    }

    /** Returns the name of this router's own VM. */
    public String ownVm() {
        return mOwnVm;
    }

    /** Returns the other routers that are not known to be dead or leaving. */
    public List<Peer> peers() {
        return peers(member -> member.status().mayBeRunning() && !member.leaving());
    }

    /** Returns the other routers that may be running, leaving ones too. */
    public List<Peer> runningPeers() {
        return peers(member -> member.status().mayBeRunning());
    }

    private List<Peer> peers(Predicate<Member> condition) {
        return mTable.members().stream().filter(condition).map(Member::peer).toList();
    }

    /** Returns the router on the VM, if it is known. */
    public Optional<Peer> peer(String vm) {
        return mTable.member(vm).map(Member::peer);
    }

    /**
     * Returns when the router was last known to run, from its messages or from other routers; the
     * current time for this router, {@link Long#MIN_VALUE} for an unknown one.
     */
    public long lastKnownAliveMillis(String vm) {
        long defaultMillis = vm.equals(mOwnVm) ? mTimers.nowMillis() : Long.MIN_VALUE;
        return mTable.member(vm).map(Member::lastEvidenceMillis).orElse(defaultMillis);
    }

    /**
     * Returns the first live routers of this data centre in rendezvous order for the key.
     *
     * <p>All routers that agree on who is live agree on the order. The first owns the key. If
     * routers disagree for about a second, that costs efficiency or briefly exceeds a limit, but
     * breaks no guarantee.
     */
    public List<String> owners(String key, int count) {
        return order(key, count, mOwnDataCentre::equals);
    }

    /** Returns the first live routers of the whole site in rendezvous order for the key. */
    public List<String> siteOwners(String key, int count) {
        return order(key, count, dataCentre -> true);
    }

    /** Returns the first live router of the whole site in rendezvous order for the key. */
    public Optional<String> siteOwner(String key) {
        return mSiteOwnerCache.computeIfAbsent(key, k -> siteOwners(k, 1).stream().findFirst());
    }

    /** Returns whether this router is the key's first owner in its data centre. */
    public boolean owns(String key) {
        return owners(key, 1).contains(mOwnVm);
    }

    private List<String> order(String key, int count, Predicate<String> dataCentreFilter) {
        List<String> others =
                mTable.members().stream()
                        .filter(Member::mayOwnKeys)
                        .filter(member -> dataCentreFilter.test(member.peer().dataCentre()))
                        .map(member -> member.peer().vm())
                        .toList();
        List<String> live =
                Stream.concat(others.stream(), Stream.of(mOwnVm).filter(vm -> mayOwnKeys(others)))
                        .toList();
        return RendezvousHash.order(key, live, Function.identity()).stream().limit(count).toList();
    }

    /**
     * Returns whether this router may own keys: always if there is no other owner; otherwise only
     * if the other routers know it and it is not held down.
     *
     * <p>Others may not know a router that the VM list does not show as live. Before this router
     * has read the list, it knows others only by introductions, which tell them of this router too.
     */
    private boolean mayOwnKeys(List<String> others) {
        boolean knownToOthers =
                !mVmListRead || ownListedVm().filter(vm -> vm.state() == Vm.State.LIVE).isPresent();
        return others.isEmpty()
                || (knownToOthers && !mOwnFlapDamping.isHeldDown(mTimers.nowMillis()));
    }

    private Optional<Vm> ownListedVm() {
        return mVms.stream()
                .filter(vm -> vm.role() == Vm.Role.ROUTER && vm.name().equals(mOwnVm))
                .findFirst();
    }

    /** Calls the subscriber with the whole VM list, backend servers too, after each change. */
    public void subscribe(Consumer<List<Vm>> subscriber) {
        mVmListSubscribers.add(subscriber);
    }

    /** Notifies the listener of changes of the routers' membership. */
    public void subscribe(MembershipListener listener) {
        mListeners.add(listener);
    }

    /**
     * Detects whether this process was paused; called at every tick and before a membership
     * message, a quota message or a request for a quota unit is handled.
     *
     * <p>After a pause, the time since the others' last heartbeats does not show whether they run,
     * so it is reset. Listeners discard what another owner may have granted meanwhile.
     */
    public void checkPause() {
        long now = mTimers.nowMillis();
        if (mPauseDetector.wasPaused(now)) {
            mEvents.log(LogEvent.PROCESS_WAS_PAUSED);
            mTable.restartSilenceTimers(now);
            mOwnFlapDamping.recordReturn(now);
            mSiteOwnerCache.clear();
            // Routers that consider this one dead get a heartbeat before any request from it.
            mTable.members().forEach(this::sendHeartbeat);
            mListeners.forEach(MembershipListener::onPauseDetected);
        }
    }

    private void onHeartbeatPeriod() {
        checkPause();
        mSiteOwnerCache.clear();
        mTable.updateStatuses(mTimers.nowMillis());
        mTable.members().forEach(this::sendHeartbeat);
        if (!mVmListRead) {
            mSeeds.forEach(seed -> mTransport.send(seed, ownIntroduction()));
        }
        mTable.members().stream()
                .filter(member -> member.status() == MemberStatus.SUSPECT)
                .forEach(member -> sendIndirectProbes(member.peer().vm()));
        notifyIfOwnershipChanged();
    }

    private void sendHeartbeat(Member member) {
        mTransport.send(member.peer(), mHeartbeat.get());
        // A process that restarted while the platform is unavailable knows no addresses.
        if (!member.status().mayBeRunning() || member.status() == MemberStatus.UNHEARD) {
            ownListedVm().ifPresent(vm -> mTransport.send(member.peer(), ownIntroduction()));
        }
    }

    private Introduction ownIntroduction() {
        return new Introduction(mOwnDataCentre, ownAddress(), mHeartbeat.get().incarnation());
    }

    private String ownAddress() {
        return ownListedVm().map(Vm::address).orElse(mOwnAddress);
    }

    private void sendIndirectProbes(String vm) {
        List<Peer> probers =
                peers(member -> member.status() == MemberStatus.LIVE && !isOnVm(member, vm));
        RendezvousHash.order(vm, probers, Peer::vm).stream()
                .limit(MAX_INDIRECT_PROBES)
                .forEach(prober -> mTransport.send(prober, new AliveQuery(vm)));
    }

    private static boolean isOnVm(Member member, String vm) {
        return member.peer().vm().equals(vm);
    }

    private void onHeartbeat(String vm, Heartbeat heartbeat) {
        checkPause();
        recordHeard(vm, heartbeat.incarnation());
    }

    private void onIntroduction(String vm, Introduction introduction) {
        checkPause();
        Peer peer = new Peer(vm, introduction.dataCentre(), introduction.address());
        boolean known = mTable.member(vm).isPresent();
        mTable.addIntroduced(peer, mTimers.nowMillis());
        recordHeard(vm, introduction.incarnation());
        if (!known) {
            mTransport.send(peer, mHeartbeat.get());
            // A router that starts without a VM list learns its seeds' VM names from this answer.
            if (!ownAddress().isEmpty()) {
                mTransport.send(peer, ownIntroduction());
            }
        }
    }

    private void recordHeard(String vm, long incarnation) {
        if (mTable.recordHeard(vm, incarnation, mTimers.nowMillis())) {
            mListeners.forEach(listener -> listener.onRestarted(vm));
        }
        notifyIfOwnershipChanged();
    }

    private void onAliveQuery(String sender, AliveQuery query) {
        checkPause();
        long now = mTimers.nowMillis();
        mTable.member(query.vm())
                .filter(member -> member.status() == MemberStatus.LIVE)
                .map(member -> new AliveAnswer(query.vm(), now - member.lastDirectMillis()))
                .ifPresent(answer -> peer(sender).ifPresent(peer -> mTransport.send(peer, answer)));
    }

    private void onAliveAnswer(String sender, AliveAnswer answer) {
        checkPause();
        long now = mTimers.nowMillis();
        mTable.recordEvidence(answer.vm(), now - answer.ageMillis(), now);
        notifyIfOwnershipChanged();
    }

    private void notifyIfOwnershipChanged() {
        Map<String, Boolean> view = mTable.ownershipView();
        if (!view.equals(mLastOwnershipView)) {
            mLastOwnershipView = view;
            mSiteOwnerCache.clear();
            mListeners.forEach(MembershipListener::onMembersChanged);
        }
    }

    /**
     * Returns whether the platform has answered for the VM list, which names the backend servers
     * too, or was found unavailable.
     */
    public boolean vmListAnswered() {
        return mVmListAnswered;
    }

    private void readVmList() {
        mVmList.read().thenAccept(this::onVmListRead);
    }

    private void onVmListRead(Either<PlatformFailure, List<Vm>> read) {
        mVmListAnswered = true;
        if (read.isRight() != mPlatformAvailable) {
            mPlatformAvailable = read.isRight();
            logAvailability(read);
        }
        read.peek(this::applyVmList);
    }

    private void applyVmList(List<Vm> vms) {
        if (vms.equals(mVms)) {
            return;
        }
        mVms = List.copyOf(vms);
        mVmListRead = true;
        mTable.updateFromVmList(vms, mTimers.nowMillis());
        mTable.members().stream()
                .filter(member -> member.status() == MemberStatus.UNHEARD)
                .forEach(this::sendHeartbeat);
        mVmListSubscribers.forEach(subscriber -> subscriber.accept(mVms));
        mLastOwnershipView = mTable.ownershipView();
        mSiteOwnerCache.clear();
        mListeners.forEach(MembershipListener::onMembersChanged);
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
        Map<String, Object> members = new TreeMap<>();
        mTable.members()
                .forEach(
                        member ->
                                members.put(member.peer().vm(), member.state(mTimers.nowMillis())));
        return Map.of("vms", mVms, "members", members, "platformAvailable", mPlatformAvailable);
    }
}
