package io.rhubarbward.admission;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of admission control at the services whose capacity is stated. */
public final class AdmissionMetrics {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Counter mDecisions;
    private final Histogram mWaitSeconds;
    private final Gauge mRoomPlaces;

    /** Creates the metrics and registers them. */
    public AdmissionMetrics(PrometheusRegistry registry) {
        mDecisions =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_admission_decisions_total")
                        .help("Decisions on requests by service, rank and decision.")
                        .labelNames("service", "rank", "decision")
                        .register(registry);
        mWaitSeconds =
                Histogram.builder()
                        .withoutExemplars()
                        .name("rhubarbward_admission_wait_seconds")
                        .help("Time that requests waited for room, by service.")
                        .labelNames("service")
                        .classicOnly()
                        .register(registry);
        mRoomPlaces =
                Gauge.builder()
                        .name("rhubarbward_room_places")
                        .help("Estimated places of a service's servers over the fleet, by kind.")
                        .labelNames("service", "kind")
                        .register(registry);
    }

    void countDecision(String service, int rank, String decision) {
        mDecisions.labelValues(service, Integer.toString(rank), decision).inc();
    }

    void observeWait(String service, long millis) {
        mWaitSeconds.labelValues(service).observe(millis / MILLIS_PER_SECOND);
    }

    void setRoom(String service, ServiceRoom room) {
        mRoomPlaces.labelValues(service, "capacity").set(room.capacity());
        mRoomPlaces.labelValues(service, "occupied").set(room.occupied());
    }
}
