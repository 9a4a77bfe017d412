package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.platform.Vm;
import io.rhubarbward.state.StateSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Knows every backend server: those that the settings declare and those on the VM list.
 *
 * <p>A server that the VM list shows as leaving gets no new work. One that falls out of both lists
 * is forgotten when its last request here has ended.
 */
public final class BackendRegistry implements StateSource {
    private final EventLog mEvents;
    private final Map<String, BackendStatus> mServers = new TreeMap<>();
    private Map<String, BackendServer> mDeclared = Map.of();
    private Map<String, Service> mServices = Map.of();
    private List<Vm> mVms = List.of();

    /** Starts with no servers. */
    public BackendRegistry(EventLog events) {
        mEvents = events;
    }

    /** Takes the servers and services that the settings declare. */
    public void configure(Settings settings) {
        mDeclared = settings.backendServers();
        mServices = settings.services();
        reconcile();
    }

    /** Takes the platform's VM list. */
    public void observe(List<Vm> vms) {
        mVms = vms;
        reconcile();
    }

    /** Takes an engine's load report. */
    public void observe(String server, LoadReport report) {
        change(server, status -> status.withReport(report));
        setState(server, BackendState.READY);
    }

    /** Notes that a server could not be reached. */
    public void unreachable(String server) {
        setState(server, BackendState.LOST);
    }

    /** Notes that a request was sent to the server. */
    public void started(String server) {
        change(server, status -> status.withInFlight(status.inFlight() + 1));
    }

    /** Notes that a request to the server ended. */
    public void finished(String server) {
        change(server, status -> status.withInFlight(Math.max(0, status.inFlight() - 1)));
    }

    /** Returns the server's status, if it is known. */
    public Optional<BackendStatus> status(String server) {
        return Optional.ofNullable(mServers.get(server));
    }

    /** Returns the statuses of a service's servers, by name. */
    public List<BackendStatus> servers(String service) {
        return mServers.values().stream()
                .filter(status -> status.server().service().equals(service))
                .toList();
    }

    /** Returns the statuses of all servers, by name. */
    public List<BackendStatus> servers() {
        return List.copyOf(mServers.values());
    }

    /** Returns how many requests the server may carry at once; 0 if it is unknown. */
    public int capacity(String server) {
        return status(server)
                .map(
                        status ->
                                Optional.ofNullable(mServices.get(status.server().service()))
                                        .map(service -> status.state().capacity(service))
                                        .orElse(0))
                .orElse(0);
    }

    private void reconcile() {
        Map<String, BackendServer> known = new HashMap<>(mDeclared);
        backendVms().forEach(vm -> known.putIfAbsent(vm.name(), server(vm)));
        known.values().forEach(this::add);
        mServers.values().removeIf(status -> !known.containsKey(status.server().name()));
        backendVms()
                .filter(vm -> vm.state() == Vm.State.LEAVING)
                .forEach(vm -> setState(vm.name(), BackendState.LEAVING));
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

    private void add(BackendServer server) {
        BackendState initial =
                Optional.ofNullable(mServices.get(server.service()))
                        .filter(service -> service.kind() == Service.Kind.ENGINE)
                        .map(service -> BackendState.COLD)
                        .orElse(BackendState.READY);
        mServers.merge(
                server.name(),
                new BackendStatus(server, initial, 0, null),
                (old, fresh) -> old.withServer(server));
    }

    private void setState(String server, BackendState state) {
        status(server)
                .filter(status -> status.state() != state)
                .filter(status -> status.state() != BackendState.LEAVING)
                .ifPresent(
                        status -> {
                            change(server, old -> old.withState(state));
                            mEvents.log(
                                    LogEvent.BACKEND_STATE_CHANGED,
                                    EventField.of("server", server),
                                    EventField.of("from", status.state()),
                                    EventField.of("to", state));
                        });
    }

    private void change(String server, UnaryOperator<BackendStatus> change) {
        mServers.computeIfPresent(server, (name, status) -> change.apply(status));
    }

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public Object state() {
        return mServers.values().stream()
                .sorted(Comparator.comparing(status -> status.server().name()))
                .toList();
    }
}
