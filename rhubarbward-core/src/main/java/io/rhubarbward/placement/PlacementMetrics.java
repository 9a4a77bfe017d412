package io.rhubarbward.placement;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the tracked servers. They are read when they are asked for. */
public final class PlacementMetrics {
    private PlacementMetrics() {}

    /** Registers the metrics of a router. */
    public static void register(PrometheusRegistry registry, ServerTable table) {
        GaugeWithCallback.builder()
                .name("rhubarbward_server_slowdown")
                .help("How long work takes at a server, as a multiple of what is usual.")
                .labelNames("server")
                .callback(
                        callback ->
                                table.slowdowns()
                                        .forEach(
                                                (server, slowdown) ->
                                                        callback.call(slowdown, server)))
                .register(registry);
    }
}
