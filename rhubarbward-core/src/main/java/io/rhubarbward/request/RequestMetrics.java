package io.rhubarbward.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts requests, refusals and times. */
public final class RequestMetrics {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Counter mAnswered;
    private final Counter mRefused;
    private final Gauge mOpen;
    private final Histogram mFirstByte;

    /** Registers the metrics. */
    public RequestMetrics(PrometheusRegistry registry) {
        mAnswered =
                Counter.builder()
                        .name("rhubarbward_requests_answered_total")
                        .help("Requests that got a whole answer.")
                        .labelNames("service")
                        .register(registry);
        mRefused =
                Counter.builder()
                        .name("rhubarbward_requests_refused_total")
                        .help("Requests refused, by code.")
                        .labelNames("code")
                        .register(registry);
        mOpen =
                Gauge.builder()
                        .name("rhubarbward_requests_open")
                        .help("Requests that are being served.")
                        .register(registry);
        mFirstByte =
                Histogram.builder()
                        .name("rhubarbward_first_byte_seconds")
                        .help("From sending to a backend server to the head of its answer.")
                        .labelNames("service")
                        .register(registry);
    }

    void answered(String service) {
        mAnswered.labelValues(service).inc();
    }

    void refused(RefusalCode code) {
        mRefused.labelValues(code.label()).inc();
    }

    void open(int requests) {
        mOpen.set(requests);
    }

    void firstByte(String service, long millis) {
        mFirstByte.labelValues(service).observe(millis / MILLIS_PER_SECOND);
    }
}
