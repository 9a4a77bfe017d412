package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** The demo over loopback sockets: three routers, three engines, a plain service, the platform. */
final class DemoTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static Demo sDemo;

    @BeforeAll
    static void start() {
        sDemo = Demo.start(DemoPorts.FREE, 3, EventLog.none());
        sDemo.routers().forEach(router -> awaitState(router, "\"generation\":1"));
    }

    @AfterAll
    static void stop() {
        sDemo.close();
    }

    @Test
    @Tag("known-red")
    void theTurnsOfAChatReachTheSameEngineThroughDifferentRouters() throws Exception {
        List<HttpResponse<String>> answers =
                IntStream.range(0, 3).mapToObj(router -> chat(router, "three-turns")).toList();
        assertThat(
                        answers.stream()
                                .map(answer -> answer.headers().firstValue("x-engine").get())
                                .distinct()
                                .toList())
                .hasSize(1);
        assertThat(answers.get(2).headers().firstValue("x-cache").get()).isEqualTo("hit");
    }

    @Test
    void aStreamArrivesComplete() throws Exception {
        HttpResponse<String> answer =
                post(0, "/v1/chat/completions", "{\"model\":\"assistant-1\",\"stream\":true}");
        assertThat(answer.headers().firstValue("content-type").get())
                .isEqualTo("text/event-stream");
        assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void requestsReachAPlainServiceByPathPrefix() throws Exception {
        assertThat(post(0, "/orders/12?x=1", "tray").body())
                .contains("\"target\":\"/orders/12?x=1\"");
    }

    @Test
    void invalidRequestsAreRefusedWithAProblemType() throws Exception {
        assertThat(post(0, "/v1/chat/completions", "{\"model\":").body())
                .contains("malformed-request");
        assertThat(post(0, "/nowhere", "").body()).contains("unknown-path");
        assertThat(post(0, "/v1/chat/completions", "{\"model\":\"none\"}").body())
                .contains("unknown-model");
        HttpRequest withoutKey = HttpRequest.newBuilder(uri(0, "/orders/1")).build();
        assertThat(send(withoutKey).statusCode()).isEqualTo(401);
    }

    @Test
    void appliedSettingsTakeEffectAtEveryRouter() {
        long generation = sDemo.apply(sDemo.settings(), "changed.json");
        sDemo.routers().forEach(router -> awaitState(router, "\"generation\":" + generation));
    }

    private static HttpResponse<String> chat(int router, String chat) {
        try {
            return post(
                    router,
                    "/v1/chat/completions",
                    "{\"model\":\"assistant-1\",\"chat_id\":\"" + chat + "\"}");
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpResponse<String> post(int router, String target, String body)
            throws IOException, InterruptedException {
        return send(
                HttpRequest.newBuilder(uri(router, target))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + Demo.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    private static HttpResponse<String> send(HttpRequest request)
            throws IOException, InterruptedException {
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(int router, String target) {
        return URI.create("http://127.0.0.1:" + sDemo.routers().get(router).callersPort() + target);
    }

    private static void awaitState(RouterDaemon router, String expected) {
        URI state = URI.create("http://127.0.0.1:" + router.operatorsPort() + "/debug/state");
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < deadlineNanos) {
            try {
                if (send(HttpRequest.newBuilder(state).build()).body().contains(expected)) {
                    return;
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        throw new AssertionError(state + " does not show " + expected + " within " + TIMEOUT);
    }
}
