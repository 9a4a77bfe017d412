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

/** Shows operators the metrics and the state dump. */
final class OperatorEndpoint implements HttpHandler {
    static final String METRICS = "/metrics";
    static final String STATE = "/debug/state";
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
            case METRICS ->
                    JsonResponses.send(
                            response, OK, PrometheusTextFormatWriter.CONTENT_TYPE, text());
            case STATE -> JsonResponses.send(response, OK, mNode.state());
            default ->
                    JsonResponses.send(
                            response,
                            NOT_FOUND,
                            "text/plain",
                            "expected " + METRICS + " or " + STATE);
        };
    }

    private String text() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            mWriter.write(text, mMetrics.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }
}
