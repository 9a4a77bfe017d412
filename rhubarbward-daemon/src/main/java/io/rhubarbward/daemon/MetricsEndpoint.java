package io.rhubarbward.daemon;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.net.http.HttpHandler;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Shows the metrics as text, whatever the path. */
final class MetricsEndpoint implements HttpHandler {
    private static final int OK = 200;

    private final PrometheusRegistry mMetrics;
    private final PrometheusTextFormatWriter mWriter = PrometheusTextFormatWriter.builder().build();

    MetricsEndpoint(PrometheusRegistry metrics) {
        mMetrics = metrics;
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse response) {
        return JsonResponses.send(response, OK, PrometheusTextFormatWriter.CONTENT_TYPE, text());
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
