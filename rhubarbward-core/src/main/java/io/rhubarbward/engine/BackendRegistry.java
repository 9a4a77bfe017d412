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
 * Knows every backend server: those that the settings declare and those on the VM list.
 *
 * <p>A server that the VM list or its own report shows as leaving gets no new work. One that falls
 * out of both lists is leaving too, and is forgotten when its last request here has ended. One that
 * does not answer stays known for as long as it is listed.
 */
public final class BackendRegistry implements StateSource {
    /** An engine's first tokens must come this many times later than in its own past. */
    private static final double SLOW_FIRST_TOKEN_RATIO = 3.0;

    /** When the other engines are slower by this much too, no single one has turned cold. */
    private static final double SLOW_SERVICE_RATIO = 1.5;

    private final EventLog mEvents;
    private final TimerService mTimers;
    private final ReturningChats mReturningChats = new ReturningChats();
    private final Map<String, Backend> mBackends = new TreeMap<>();
    private final Map<String, BackendState> mLoggedStates = new HashMap<>();
    private final List<BiConsumer<String, ColdReason>> mOnCold = new ArrayList<>();
    private Map<Integer, List<String>> mNamesByShortForm = Map.of();
    private Map<String, BackendServer> mDeclared = Map.of();
    private Optional<Settings> mSettings = Optional.empty();
    private List<Vm> mVms = List.of();

    /** Starts with no servers. */
    public BackendRegistry(EventLog events, TimerService timers) {
        mEvents = events;
        mTimers = timers;
    }

    /** Takes the servers, services and data centres that the settings declare. */
    public void configure(Settings settings) {
        mDeclared = settings.backendServers();
        mSettings = Optional.of(settings);
        reconcile();
    }

    /** Takes the platform's VM list. */
    public void observe(List<Vm> vms) {
        mVms = vms;
        reconcile();
    }

    /** Takes an engine's own load report, which it was asked for at the time. */
    public void observe(String server, LoadReport report, long takenAtMillis) {
        observe(server, EngineObservation.of(report, takenAtMillis));
    }

    /** Takes what a report, or a peer's copy of one, says of an engine. */
    void observe(String server, EngineObservation observation) {
        change(
                server,
                backend ->
                        backend.observe(observation)
                                .ifPresent(reason -> foundCold(server, reason)));
    }

    /** Notes that a server did not report when asked. */
    public void unreachable(String server) {
        change(server, Backend::missed);
    }

    /** Notes that a request was sent to the server. */
    public void started(String server) {
        change(server, backend -> backend.started(mTimers.nowMillis()));
    }

    /** Notes that a request to the server ended. */
    public void finished(String server) {
        change(server, Backend::finished);
        forgetUnlisted();
    }

    /**
     * Notes that the server completed a request.
     *
     * <p>A chat that is new to a server has its prompt read there first, however warm the server
     * is, so that its time says nothing of a cold start.
     *
     * @param server its name
     * @param chat the chat that the request belongs to, if any
     * @param firstByteMillis from sending the request to the head of the answer
     */
    public void completed(String server, Optional<String> chat, long firstByteMillis) {
        boolean comparable = chat.map(name -> mReturningChats.answered(name, server)).orElse(true);
        change(
                server,
                backend -> {
                    backend.completed();
                    if (!comparable) {
                        return;
                    }
                    backend.firstTokens().add(firstByteMillis, mTimers.nowMillis());
                    if (slowerThanItsPastAndItsPeers(backend)) {
                        backend.cool();
                        foundCold(server, ColdReason.FIRST_TOKEN_SLOW);
                    }
                });
    }

    /** Calls the subscriber with each engine that is found to be cold again. */
    void subscribeCold(BiConsumer<String, ColdReason> subscriber) {
        mOnCold.add(subscriber);
    }

    /** Returns the server's status, if it is known. */
    public Optional<BackendStatus> status(String server) {
        return Optional.ofNullable(mBackends.get(server)).map(this::status);
    }

    /** Returns the statuses of a service's servers, by name. */
    public List<BackendStatus> servers(String service) {
        return mBackends.values().stream()
                .filter(backend -> backend.server().service().equals(service))
                .map(this::status)
                .toList();
    }

    /** Returns the statuses of all servers, by name. */
    public List<BackendStatus> servers() {
        return mBackends.values().stream().map(this::status).toList();
    }

    /**
     * Returns how many requests the server may carry at once: what it bears, within the bound on
     * its load; 0 if it is unknown or its data centre is out, so that a router that has not heard
     * of it yet gets no share from one that has.
     */
    public int capacity(String server) {
        return status(server)
                .filter(status -> takesWork(status.server().dataCentre()))
                .map(this::boundedCapacity)
                .orElse(0);
    }

    /** Compares servers of one version: a rollout loads two versions differently on purpose. */
    private int boundedCapacity(BackendStatus status) {
        double multiple =
                mSettings.map(settings -> settings.routing().boundedLoadMultiple()).orElse(1.0);
        List<BackendStatus> open =
                servers(status.server().service()).stream()
                        .filter(other -> other.server().version().equals(status.server().version()))
                        .filter(other -> other.state().takesNewWork())
                        .filter(other -> takesWork(other.server().dataCentre()))
                        .toList();
        return LoadBound.of(multiple, open).capacity(status);
    }

    /** Returns how far an engine has come on its ramp, if it is known. */
    Optional<EngineProgress> progress(String server) {
        return Optional.ofNullable(mBackends.get(server)).map(Backend::progress);
    }

    /** Returns the server whose name has the short form; none if two servers share it. */
    Optional<String> byShortForm(int shortForm) {
        List<String> names = mNamesByShortForm.getOrDefault(shortForm, List.of());
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
        mNamesByShortForm =
                mBackends.keySet().stream()
                        .collect(Collectors.groupingBy(EngineObservation::shortForm));
        mBackends.forEach(
                (name, backend) -> backend.listed(known.containsKey(name), leaving.contains(name)));
        mBackends.values().forEach(this::logState);
        forgetUnlisted();
    }

    private void add(BackendServer server) {
        mBackends.computeIfAbsent(server.name(), name -> new Backend(server)).server(server);
    }

    private void forgetUnlisted() {
        mBackends.values().removeIf(Backend::forgettable);
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

    private boolean slowerThanItsPastAndItsPeers(Backend backend) {
        if (backend.state(service(backend)) != BackendState.READY) {
            return false;
        }
        return backend.firstTokens()
                .rise()
                .filter(ratio -> ratio >= SLOW_FIRST_TOKEN_RATIO)
                .flatMap(ratio -> peerSlowdown(backend))
                .filter(slowdown -> slowdown < SLOW_SERVICE_RATIO)
                .isPresent();
    }

    /**
     * Returns the median slowdown of the engines that run the same version and answered in the same
     * time; empty when there are none. Without them, long prompts or cache misses look like a cold
     * start.
     */
    private Optional<Double> peerSlowdown(Backend backend) {
        long since = backend.firstTokens().recentSinceMillis().orElse(Long.MAX_VALUE);
        List<Double> slowdowns =
                mBackends.values().stream()
                        .filter(other -> other != backend && sameVersion(other, backend))
                        .flatMap(other -> other.firstTokens().slowdownSince(since).stream())
                        .sorted()
                        .toList();
        return slowdowns.isEmpty()
                ? Optional.empty()
                : Optional.of(slowdowns.get(slowdowns.size() / 2));
    }

    private static boolean sameVersion(Backend left, Backend right) {
        return left.server().service().equals(right.server().service())
                && left.server().version().equals(right.server().version());
    }

    private void foundCold(String server, ColdReason reason) {
        mEvents.log(
                LogEvent.ENGINE_COLD_AGAIN,
                EventField.of("server", server),
                EventField.of("reason", reason));
        mOnCold.forEach(subscriber -> subscriber.accept(server, reason));
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
