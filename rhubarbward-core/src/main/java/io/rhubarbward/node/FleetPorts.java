package io.rhubarbward.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.forward.RequestDialect;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.move.RolloutOrder;
import io.rhubarbward.move.RolloutStatusWriter;
import io.rhubarbward.reach.ConnectProbe;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.timer.TimerService;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * The interfaces through which a fleet router reaches the world outside its own code.
 *
 * @param timers clock and timers; all callbacks run on its thread
 * @param random jitter for repeated calls
 * @param events the event log
 * @param metrics where metrics are registered
 * @param backends sends requests to backend servers
 * @param connectProbe tries whether servers can be reached
 * @param dialect decodes and encodes the header fields of requests and answers
 * @param peers carries messages to and from other routers
 * @param store access to the platform's store
 */
public record FleetPorts(
        TimerService timers,
        RandomGenerator random,
        EventLog events,
        PrometheusRegistry metrics,
        BackendClient backends,
        ConnectProbe connectProbe,
        RequestDialect dialect,
        PeerTransport peers,
        Store store) {
    /**
     * The kinds of objects in the platform's store that a router reads or writes.
     *
     * @param catalogs catalogues: routes, services, accounts and limits
     * @param catalogName the name of the catalogue object that routers follow
     * @param servers the backend servers' own entries
     * @param evacuations names of the data centres that are being evacuated
     * @param routers the routers' own entries
     * @param rollouts orders to move services to other versions
     * @param rolloutWriter writes the state of such an order
     * @param presenceWriter writes this router's own entry
     */
    public record Store(
            ObjectKind<Catalog> catalogs,
            String catalogName,
            ObjectKind<ListedServer> servers,
            ObjectKind<String> evacuations,
            ObjectKind<RouterPresence> routers,
            ObjectKind<RolloutOrder> rollouts,
            RolloutStatusWriter rolloutWriter,
            PresenceWriter presenceWriter) {}

    /** Writes a router's entry into the store. */
    @FunctionalInterface
    public interface PresenceWriter {
        /** Writes the entry; completes with whether the router is listed now. */
        CompletionStage<Boolean> announce(String router, RouterPresence presence);
    }
}
