package io.rhubarbward.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of forwarded requests. */
public final class ForwardMetrics {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Counter mRequests;
    private final Counter mSends;
    private final Counter mForwarded;
    private final Gauge mOpenRequests;
    private final Gauge mServersReachable;
    private final Histogram mFirstByteSeconds;
    private final Histogram mTotalSeconds;

    /** Creates the metrics and registers them. */
    public ForwardMetrics(PrometheusRegistry registry) {
        mRequests =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_forward_requests_total")
                        .help("Requests by route kind and outcome.")
                        .labelNames("kind", "outcome")
                        .register(registry);
        mSends =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_forward_sends_total")
                        .help("Sends to backend servers by service and result.")
                        .labelNames("service", "result")
                        .register(registry);
        mForwarded =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_forwarded_to_routers_total")
                        .help("Requests forwarded through other routers, by result.")
                        .labelNames("result")
                        .register(registry);
        mOpenRequests =
                Gauge.builder()
                        .name("rhubarbward_forward_open")
                        .help("Requests that are being served.")
                        .register(registry);
        mServersReachable =
                Gauge.builder()
                        .name("rhubarbward_servers_reachable")
                        .help("0 while this router reaches no backend server, else 1.")
                        .register(registry);
        mServersReachable.set(1);
        mFirstByteSeconds =
                Histogram.builder()
                        .withoutExemplars()
                        .name("rhubarbward_forward_first_byte_seconds")
                        .help("From a request's arrival to the first byte of its answer.")
                        .labelNames("kind")
                        .classicOnly()
                        .register(registry);
        mTotalSeconds =
                Histogram.builder()
                        .withoutExemplars()
                        .name("rhubarbward_forward_total_seconds")
                        .help("From a request's arrival to the end of its answer.")
                        .labelNames("kind")
                        .classicOnly()
                        .register(registry);
    }

    void countRequest(String kind, String outcome) {
        mRequests.labelValues(kind, outcome).inc();
    }

    void countSend(String service, String result) {
        mSends.labelValues(service, result).inc();
    }

    void countForwarded(String result) {
        mForwarded.labelValues(result).inc();
    }

    /** Shows whether this router reaches the backend servers. */
    public void setServersReachable(boolean reachable) {
        mServersReachable.set(reachable ? 1 : 0);
    }

    void setOpenRequests(int requests) {
        mOpenRequests.set(requests);
    }

    void observeFirstByte(String kind, long millis) {
        mFirstByteSeconds.labelValues(kind).observe(millis / MILLIS_PER_SECOND);
    }

    void observeTotal(String kind, long millis) {
        mTotalSeconds.labelValues(kind).observe(millis / MILLIS_PER_SECOND);
    }
}
