package io.rhubarbward.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.engine.EngineClient;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.move.EngineOrders;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.VmList;
import io.rhubarbward.timer.TimerService;
import java.util.random.RandomGenerator;

/**
 * The interfaces through which a router reaches the world outside its own code.
 *
 * @param timers clock and timers; every port calls back on its thread
 * @param random the source of randomness
 * @param events the event log
 * @param store the platform's object store
 * @param vmList the platform's list of VMs
 * @param backends sends requests to backend servers
 * @param engines reads engines' load reports
 * @param orders sends orders to engines
 * @param peers carries messages to and from other routers
 * @param metrics where metrics are registered
 */
public record RouterPorts(
        TimerService timers,
        RandomGenerator random,
        EventLog events,
        ObjectStore store,
        VmList vmList,
        BackendClient backends,
        EngineClient engines,
        EngineOrders orders,
        PeerTransport peers,
        PrometheusRegistry metrics) {}
