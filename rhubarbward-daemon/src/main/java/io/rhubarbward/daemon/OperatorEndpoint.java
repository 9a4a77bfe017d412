package io.rhubarbward.daemon;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.net.http.HttpHandler;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** HTTP handler of the operators' port: serves the metrics and the state dump. */
final class OperatorEndpoint implements HttpHandler {
    static final String METRICS_PATH = "/metrics";
    static final String STATE_PATH = "/debug/state";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final RouterNode mNode;
    private final PrometheusRegistry mMetrics;
    private final PrometheusTextFormatWriter mWriter = PrometheusTextFormatWriter.builder().build();

    OperatorEndpoint(RouterNode node, PrometheusRegistry metrics) {
        mNode = node;
        mMetrics = metrics;
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse response) {
        return switch (request.path()) {
            case METRICS_PATH ->
                    JsonResponses.send(
                            response, OK, PrometheusTextFormatWriter.CONTENT_TYPE, renderMetrics());
            case STATE_PATH -> JsonResponses.send(response, OK, mNode.state());
            default ->
                    JsonResponses.send(
                            response,
                            NOT_FOUND,
                            "text/plain",
                            "expected " + METRICS_PATH + " or " + STATE_PATH);
        };
    }

    private String renderMetrics() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            mWriter.write(output, mMetrics.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toString(StandardCharsets.UTF_8);
    }
}
