package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.Vm;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the state and capacity of every backend server that the settings declare or the VM list
 * contains.
 *
 * <p>A server that the VM list or its own load report shows as leaving gets no new work. One that
 * is in neither the settings nor the VM list any more is leaving too, and is removed when this
 * router's last request to it has ended. One that does not answer is kept for as long as it is
 * listed.
 */
public final class BackendRegistry implements StateSource {
    /** Slowdown of first tokens against the engine's own past from which it may be cold. */
    private static final double MIN_COLD_SLOWDOWN = 3.0;

    /** From this slowdown of its peers, the whole service is slow and no single engine is cold. */
    private static final double MIN_SERVICE_SLOWDOWN = 1.5;

    private final EventLog mEvents;
    private final TimerService mTimers;
    private final LastServerByChat mLastServers = new LastServerByChat();
    private final Map<String, Backend> mBackends = new TreeMap<>();
    private final Map<String, BackendState> mLoggedStates = new HashMap<>();
    private final List<BiConsumer<String, ColdReason>> mColdSubscribers = new ArrayList<>();
    private Map<Integer, List<String>> mNamesByHash = Map.of();
    private Map<String, BackendServer> mDeclared = Map.of();
    private Optional<Settings> mSettings = Optional.empty();
    private List<Vm> mVms = List.of();

    /** Creates a registry without servers. */
    public BackendRegistry(EventLog events, TimerService timers) {
        mEvents = events;
        mTimers = timers;
    }

    /** Applies the servers, services and data centres of the settings. */
    public void configure(Settings settings) {
        mDeclared = settings.backendServers();
        mSettings = Optional.of(settings);
        reconcile();
    }

    /** Applies the platform's VM list. */
    public void observe(List<Vm> vms) {
        mVms = vms;
        reconcile();
    }

    /**
     * Applies a load report that this router fetched from the engine itself.
     *
     * @param server the engine's name
     * @param report what it reported
     * @param takenAtMillis when the report was requested
     */
    public void observe(String server, LoadReport report, long takenAtMillis) {
        observe(server, EngineObservation.of(report, takenAtMillis));
    }

    /** Applies an observation of an engine, from its own report or from a peer's copy. */
    void observe(String server, EngineObservation observation) {
        change(
                server,
                backend ->
                        backend.observe(observation)
                                .ifPresent(reason -> reportCold(server, reason)));
    }

    /** Records that a server did not return a usable load report when asked for one. */
    public void loadReportMissed(String server) {
        change(server, Backend::reportMissed);
    }

    /** Records that a request was sent to the server. */
    public void requestSent(String server) {
        change(server, backend -> backend.requestSent(mTimers.nowMillis()));
    }

    /** Records that a request to the server ended, whether or not it was answered. */
    public void requestEnded(String server) {
        change(server, Backend::requestEnded);
        removeUnlisted();
    }

    /**
     * Records that the server answered a request.
     *
     * <p>The first request of a chat at a server misses the prefix cache however warm the server
     * is, so its latency is not used to detect a cold engine.
     *
     * @param server the server's name
     * @param chat the chat that the request belongs to, if any
     * @param firstByteMillis the time from sending the request to the head of the answer
     */
    public void requestCompleted(String server, Optional<String> chat, long firstByteMillis) {
        boolean comparable = chat.map(name -> mLastServers.record(name, server)).orElse(true);
        change(
                server,
                backend -> {
                    backend.requestCompleted();
                    if (!comparable) {
                        return;
                    }
                    backend.firstTokenLatencies().add(firstByteMillis, mTimers.nowMillis());
                    if (isSlowerThanOwnPastAndPeers(backend)) {
                        backend.markCold();
                        reportCold(server, ColdReason.FIRST_TOKEN_SLOW);
                    }
                });
    }

    /** Calls the subscriber with each engine that is found to be cold again, and the reason. */
    void subscribeCold(BiConsumer<String, ColdReason> subscriber) {
        mColdSubscribers.add(subscriber);
    }

    /** Returns the server's status, if it is known. */
    public Optional<BackendStatus> status(String server) {
        return Optional.ofNullable(mBackends.get(server)).map(this::status);
    }

    /** Returns the statuses of a service's servers, ordered by server name. */
    public List<BackendStatus> servers(String service) {
        return mBackends.values().stream()
                .filter(backend -> backend.server().service().equals(service))
                .map(this::status)
                .toList();
    }

    /** Returns the statuses of all servers, ordered by server name. */
    public List<BackendStatus> servers() {
        return mBackends.values().stream().map(this::status).toList();
    }

    /**
     * Returns how many requests the server may carry at once: its slow-start capacity, limited by
     * the {@link LoadBound}. Returns 0 if it is unknown or its data centre is out, so that a router
     * that does not know the server yet neither requests nor grants units of its capacity.
     */
    public int capacity(String server) {
        return status(server)
                .filter(status -> takesWork(status.server().dataCentre()))
                .map(this::boundedCapacity)
                .orElse(0);
    }

    /** The mean covers one version only, since a rollout loads two versions differently. */
    private int boundedCapacity(BackendStatus status) {
        double multiple =
                mSettings.map(settings -> settings.routing().boundedLoadMultiple()).orElse(1.0);
        List<BackendStatus> comparable =
                servers(status.server().service()).stream()
                        .filter(other -> other.server().version().equals(status.server().version()))
                        .filter(other -> other.state().takesNewWork())
                        .filter(other -> takesWork(other.server().dataCentre()))
                        .toList();
        return LoadBound.of(multiple, comparable).capacity(status);
    }

    /** Returns the engine's slow-start progress, if the engine is known. */
    Optional<SlowStartProgress> progress(String server) {
        return Optional.ofNullable(mBackends.get(server)).map(Backend::progress);
    }

    /** Returns the name of the server with the name hash; none if two servers share it. */
    Optional<String> byNameHash(int nameHash) {
        List<String> names = mNamesByHash.getOrDefault(nameHash, List.of());
        return names.size() == 1 ? Optional.of(names.get(0)) : Optional.empty();
    }

    private boolean takesWork(String dataCentre) {
        return mSettings.map(settings -> settings.takesWork(dataCentre)).orElse(false);
    }

    private @Nullable Service service(Backend backend) {
        return mSettings
                .map(settings -> settings.services().get(backend.server().service()))
                .orElse(null);
    }

    private BackendStatus status(Backend backend) {
        return backend.status(service(backend));
    }

    private void reconcile() {
        Map<String, BackendServer> known = new HashMap<>(mDeclared);
        backendVms().forEach(vm -> known.putIfAbsent(vm.name(), server(vm)));
        List<String> leaving =
                backendVms().filter(vm -> vm.state() == Vm.State.LEAVING).map(Vm::name).toList();
        known.values().forEach(this::add);
        mNamesByHash =
                mBackends.keySet().stream()
                        .collect(Collectors.groupingBy(EngineObservation::nameHash));
        mBackends.forEach(
                (name, backend) ->
                        backend.updateListing(known.containsKey(name), leaving.contains(name)));
        mBackends.values().forEach(this::logState);
        removeUnlisted();
    }

    private void add(BackendServer server) {
        mBackends.computeIfAbsent(server.name(), name -> new Backend(server)).updateServer(server);
    }

    private void removeUnlisted() {
        mBackends.values().removeIf(Backend::removable);
        mLoggedStates.keySet().retainAll(mBackends.keySet());
    }

    private Stream<Vm> backendVms() {
        return mVms.stream().filter(vm -> vm.role() == Vm.Role.BACKEND);
    }

    private static BackendServer server(Vm vm) {
        return new BackendServer(
                vm.name(),
                Objects.requireNonNull(vm.service()),
                vm.dataCentre(),
                vm.address(),
                Objects.requireNonNull(vm.version()),
                BackendServer.Fencing.IGNORES);
    }

    private boolean isSlowerThanOwnPastAndPeers(Backend backend) {
        if (backend.state(service(backend)) != BackendState.READY) {
            return false;
        }
        return backend.firstTokenLatencies()
                .significantSlowdown()
                .filter(slowdown -> slowdown >= MIN_COLD_SLOWDOWN)
                .flatMap(slowdown -> medianPeerSlowdown(backend))
                .filter(peerSlowdown -> peerSlowdown < MIN_SERVICE_SLOWDOWN)
                .isPresent();
    }

    /**
     * Returns the median slowdown of the other engines that run the same version and answered
     * requests in the same period; empty when there are none. Without that comparison, long prompts
     * or cache misses look like a cold start.
     */
    private Optional<Double> medianPeerSlowdown(Backend backend) {
        long sinceMillis =
                backend.firstTokenLatencies().oldestRecentMillis().orElse(Long.MAX_VALUE);
        List<Double> slowdowns =
                mBackends.values().stream()
                        .filter(other -> other != backend && runSameVersion(other, backend))
                        .flatMap(
                                other ->
                                        other
                                                .firstTokenLatencies()
                                                .slowdownSince(sinceMillis)
                                                .stream())
                        .sorted()
                        .toList();
        return slowdowns.isEmpty()
                ? Optional.empty()
                : Optional.of(slowdowns.get(slowdowns.size() / 2));
    }

    private static boolean runSameVersion(Backend left, Backend right) {
        return left.server().service().equals(right.server().service())
                && left.server().version().equals(right.server().version());
    }

    private void reportCold(String server, ColdReason reason) {
        mEvents.log(
                LogEvent.ENGINE_COLD_AGAIN,
                EventField.of("server", server),
                EventField.of("reason", reason));
        mColdSubscribers.forEach(subscriber -> subscriber.accept(server, reason));
    }

    private void change(String server, Consumer<Backend> change) {
        Backend backend = mBackends.get(server);
        if (backend != null) {
            change.accept(backend);
            logState(backend);
        }
    }

    private void logState(Backend backend) {
        String server = backend.server().name();
        BackendState state = backend.state(service(backend));
        BackendState old = mLoggedStates.put(server, state);
        if (old != null && old != state) {
            mEvents.log(
                    LogEvent.BACKEND_STATE_CHANGED,
                    EventField.of("server", server),
                    EventField.of("from", old),
                    EventField.of("to", state));
        }
    }

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public Object state() {
        return servers();
    }
}
