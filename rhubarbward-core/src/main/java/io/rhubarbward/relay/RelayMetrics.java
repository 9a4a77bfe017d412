package io.rhubarbward.relay;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.store.KindWatcher;
import java.util.List;

/** Metrics of a router's part in the relays. They are read when they are asked for. */
public final class RelayMetrics {
    private static final double MILLIS_PER_SECOND = 1000;

    private RelayMetrics() {}

    /** Registers the metrics of a router. */
    public static void register(
            PrometheusRegistry registry, StoreFollower follower, List<KindWatcher<?>> watchers) {
        CounterWithCallback.builder()
                .name("rhubarbward_store_calls_total")
                .help("Lists and watches sent to the store, by kind.")
                .labelNames("kind")
                .callback(
                        callback ->
                                watchers.forEach(
                                        watcher -> callback.call(watcher.calls(), watcher.name())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("rhubarbward_store_staleness_seconds")
                .help("How stale the state of a kind may be.")
                .labelNames("kind")
                .callback(
                        callback ->
                                watchers.forEach(
                                        watcher ->
                                                callback.call(
                                                        watcher.stalenessMillis()
                                                                / MILLIS_PER_SECOND,
                                                        watcher.name())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("rhubarbward_relay_followers")
                .help("Routers that use this one as their relay.")
                .callback(callback -> callback.call(follower.followers()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("rhubarbward_relay_calls_store")
                .help("1 if this router calls the store itself, 0 if a relay tells it.")
                .callback(callback -> callback.call(follower.callsStore() ? 1 : 0))
                .register(registry);
    }
}
