package io.rhubarbward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.Sha256;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Shows that the surge of one account leaves the other accounts their share. */
final class SurgeTest {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_WAITING = 64;
    private static final int TOTAL_ENGINE_SLOTS = 3 * 16;

    /** Keeps the mean load so high that no engine exceeds the load bound derived from it. */
    private static final LoadReport HIGH_LOAD = new LoadReport("first", 16, 0, 1_000_000, 0);

    private static final String SETTINGS =
            Site.SETTINGS.replace(
                    "\"accounts\": {",
                    """
                    "accounts": {
                      "calm": {"keySha256": "%s", "requestsPerSecond": 100, "burst": 100},
                      "urgent": {
                        "keySha256": "%s", "requestsPerSecond": 100, "burst": 100,
                        "priority": "high"
                      },
                      "limited": {"keySha256": "%s", "requestsPerSecond": 10, "burst": 10},
                    """
                            .formatted(
                                    Sha256.of("calm"), Sha256.of("urgent"), Sha256.of("limited")));

    private final Site mSite = Site.start(3);
    private final Set<Sent> mEnded = new HashSet<>();
    private int mNextChat;

    @Test
    void anAccountAtFiftyTimesItsRateIsLimitedToItsRateAndOthersAreServed() {
        configureAndSettle();
        long startMillis = mSite.timers().nowMillis();
        List<RecordingResponse> surge = new ArrayList<>();
        List<RecordingResponse> calm = new ArrayList<>();
        for (int round = 0; round < 100; round++) {
            IntStream.range(0, 50).forEach(i -> surge.add(serve("limited")));
            calm.add(serve("calm"));
            mSite.advance(Duration.ofMillis(100));
            completeAll();
        }
        assertThat(calm.stream().filter(answer -> answer.status() == OK).count()).isEqualTo(100);
        double seconds = (mSite.timers().nowMillis() - startMillis) / 1000.0;
        long admitted = surge.stream().filter(answer -> answer.status() == OK).count();
        assertThat(admitted).isAtMost((long) (10 * seconds) + 10);
        surge.stream()
                .filter(answer -> answer.status() == TOO_MANY_REQUESTS)
                .forEach(answer -> assertThat(answer.headers().first("retry-after")).isPresent());
    }

    @Test
    void aSmallAccountGetsATurnWhileAnotherFillsAllEngines() {
        configureAndSettle();
        IntStream.range(0, TOTAL_ENGINE_SLOTS + 20).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        RecordingResponse calm = serve("calm");
        mSite.advance(Duration.ofMillis(10));
        completeOldest();
        completeOldest();
        mSite.advance(Duration.ofMillis(200));
        completeAll();
        assertThat(calm.status()).isEqualTo(OK);
    }

    @Test
    void aHighPriorityRequestOvertakesWaitingOnesAndItsPriorityIsForwarded() {
        configureAndSettle();
        IntStream.range(0, TOTAL_ENGINE_SLOTS + 20).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        serve("urgent");
        mSite.advance(Duration.ofMillis(10));
        int sentBefore = mSite.backends().sent().size();
        completeOldest();
        mSite.advance(Duration.ofMillis(10));
        Sent next = mSite.backends().sent().get(sentBefore);
        assertThat(next.request().headers().first("x-client-account")).hasValue("urgent");
        assertThat(next.request().headers().first("x-priority")).hasValue("0");
    }

    @Test
    void aRequestThatWaitsTooLongIsRefusedAsNotRunWithRetryAfter() {
        configureAndSettle();
        IntStream.range(0, TOTAL_ENGINE_SLOTS).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        RecordingResponse late = serve("calm");
        mSite.advance(Duration.ofMillis(2_100));
        assertThat(late.status()).isEqualTo(SERVICE_UNAVAILABLE);
        assertThat(late.headers().first("retry-after")).isPresent();
        assertThat(late.body()).contains("\"run\":\"not-run\"");
    }

    @Test
    void requestsBeyondTheQueueLimitAreRefusedAtOnce() {
        configureAndSettle();
        List<RecordingResponse> answers =
                IntStream.range(0, TOTAL_ENGINE_SLOTS + MAX_WAITING + 10)
                        .mapToObj(i -> serve(Site.KEY))
                        .toList();
        mSite.advance(Duration.ofMillis(150));
        assertThat(
                        answers.stream()
                                .filter(answer -> answer.status() == SERVICE_UNAVAILABLE)
                                .count())
                .isAtLeast(10);
    }

    @Test
    void aRequestWhoseCallerDisconnectsWhileWaitingIsNotSent() {
        configureAndSettle();
        IntStream.range(0, TOTAL_ENGINE_SLOTS).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        mSite.router(0).serve(chat("calm"), new RecordingResponse()).onGone();
        completeAll();
        mSite.advance(Duration.ofSeconds(1));
        completeAll();
        assertThat(
                        mSite.backends().sent().stream()
                                .map(sent -> sent.request().headers().first("x-client-account"))
                                .toList())
                .doesNotContain(Optional.of("calm"));
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        configureAndSettle();
        int requests = 40;
        IntStream.range(0, requests).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(50));
        assertThat(mSite.backends().sent()).hasSize(requests);
        openSends().forEach(this::fail);
        mSite.advance(Duration.ofMillis(50));
        assertThat(mSite.backends().sent().size() - requests).isAtMost(20 + 2);
    }

    @Test
    void theStateDumpShowsTheNumberOfWaitingRequests() {
        configureAndSettle();
        IntStream.range(0, TOTAL_ENGINE_SLOTS + 10).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(50));
        String dump = String.valueOf(mSite.router(0).state().get("admission"));
        assertThat(dump).containsMatch("assistant=1[0-9]");
    }

    private void configureAndSettle() {
        mSite.apply(SETTINGS);
        List.of("engine-1", "engine-2", "engine-3")
                .forEach(engine -> mSite.engines().report(engine, HIGH_LOAD));
        mSite.advance(Duration.ofSeconds(5));
    }

    private RecordingResponse serve(String key) {
        RecordingResponse response = new RecordingResponse();
        mSite.router(0).serve(chat(key), response);
        return response;
    }

    private CallerRequest chat(String key) {
        return new CallerRequest(
                "POST",
                "/v1/chat/completions",
                HeaderFields.of("authorization", "Bearer " + key),
                StandardCharsets.UTF_8.encode(
                        "{\"model\":\"m\",\"chat_id\":\"c" + mNextChat++ + "\"}"));
    }

    private List<Sent> openSends() {
        return mSite.backends().sent().stream().filter(sent -> !mEnded.contains(sent)).toList();
    }

    private void completeOldest() {
        complete(openSends().get(0));
    }

    private void completeAll() {
        while (!openSends().isEmpty()) {
            openSends().forEach(this::complete);
            mSite.advance(Duration.ofMillis(5));
        }
    }

    private void complete(Sent sent) {
        mEnded.add(sent);
        sent.head(OK, "application/json").part("{}").complete();
    }

    private void fail(Sent sent) {
        mEnded.add(sent);
        sent.fail(BackendFailure.CONNECTION_LOST);
    }
}
