package io.rhubarbward.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of callers' requests: their number, refusals and latency. */
public final class RequestMetrics {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Counter mAnsweredRequests;
    private final Counter mRefusedRequests;
    private final Gauge mOpenRequests;
    private final Histogram mFirstByteSeconds;

    /** Creates the metrics and registers them. */
    public RequestMetrics(PrometheusRegistry registry) {
        mAnsweredRequests =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_requests_answered_total")
                        .help("Requests that got a whole answer.")
                        .labelNames("service")
                        .register(registry);
        mRefusedRequests =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_requests_refused_total")
                        .help("Requests refused, by code.")
                        .labelNames("code")
                        .register(registry);
        mOpenRequests =
                Gauge.builder()
                        .name("rhubarbward_requests_open")
                        .help("Requests that are being served.")
                        .register(registry);
        mFirstByteSeconds =
                Histogram.builder()
                        .withoutExemplars()
                        .name("rhubarbward_first_byte_seconds")
                        .help("From sending to a backend server to the head of its answer.")
                        .labelNames("service")
                        .register(registry);
    }

    void countAnswered(String service) {
        mAnsweredRequests.labelValues(service).inc();
    }

    void countRefused(RefusalCode code) {
        mRefusedRequests.labelValues(code.label()).inc();
    }

    void setOpenRequests(int count) {
        mOpenRequests.set(count);
    }

    void observeFirstByte(String service, long millis) {
        mFirstByteSeconds.labelValues(service).observe(millis / MILLIS_PER_SECOND);
    }
}
