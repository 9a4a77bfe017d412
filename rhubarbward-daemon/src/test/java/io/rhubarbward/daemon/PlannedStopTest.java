package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.EngineProfile;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A graceful stop with open streams, over sockets. */
@Timeout(60)
final class PlannedStopTest {
    private static final int STREAMS = 12;
    private static final int TOKENS = 60;
    private static final int BETWEEN_TOKENS_MILLIS = 10;
    private static final String STREAMING_CHAT_BODY =
            "{\"model\":\"assistant-1\",\"stream\":true,\"chat_id\":\"%d\"}";

    private final HttpClient mClient = HttpClient.newHttpClient();

    @Test
    @Tag("known-red")
    void openStreamsRunToTheirEndAndLaterRequestsAreRefused() throws Exception {
        try (Demo demo = Demo.start(DemoPorts.FREE, 1, EventLog.none())) {
            RouterDaemon router = demo.routers().get(0);
            awaitReady(router);
            EngineProfile slow = EngineProfile.QUICK.withTokens(TOKENS, BETWEEN_TOKENS_MILLIS);
            demo.engines().forEach(engine -> engine.profile(slow));
            List<InputStream> streams = new ArrayList<>();
            for (int chat = 0; chat < STREAMS; chat++) {
                streams.add(send(router, STREAMING_CHAT_BODY.formatted(chat)).body());
            }
            CompletableFuture<Integer> drained = router.drain();
            for (InputStream stream : streams) {
                assertThat(new String(stream.readAllBytes(), StandardCharsets.UTF_8))
                        .endsWith("data: [DONE]\n\n");
            }
            assertThat(drained.get(30, TimeUnit.SECONDS)).isEqualTo(0);
            assertThat(readinessStatus(router)).isEqualTo(503);
            HttpResponse<InputStream> answerWhileDraining =
                    send(router, STREAMING_CHAT_BODY.formatted(STREAMS));
            assertThat(
                            new String(
                                    answerWhileDraining.body().readAllBytes(),
                                    StandardCharsets.UTF_8))
                    .contains("\"code\":\"draining\"");
        }
    }

    private HttpResponse<InputStream> send(RouterDaemon router, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(router, "/v1/chat/completions"))
                        .header("Authorization", "Bearer " + Demo.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    private void awaitReady(RouterDaemon router) throws IOException, InterruptedException {
        while (readinessStatus(router) != 200) {
            Thread.onSpinWait();
        }
    }

    private int readinessStatus(RouterDaemon router) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(router, CallerEndpoint.READY_PATH)).build();
        return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static URI uri(RouterDaemon router, String path) {
        return URI.create("http://127.0.0.1:" + router.callersPort() + path);
    }
}
