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

/** What one account's surge does to the others, from the caller's request to its answer. */
final class SurgeTest {
    private static final int OK = 200;
    private static final int OVER_LIMIT = 429;
    private static final int OVERLOADED = 503;
    private static final int ROOM = 64;
    private static final int ENGINES_CAPACITY = 3 * 16;

    /** Keeps the mean load high, so that the bound on it does not bind. */
    private static final LoadReport BUSY = new LoadReport("first", 16, 0, 1_000_000, 0);

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
    private final Set<Sent> mOver = new HashSet<>();
    private int mNumber;

    @Test
    void anAccountAtFiftyTimesItsRateIsHeldToItOverTheWholeFleet() {
        start();
        long begun = mSite.timers().nowMillis();
        List<RecordingResponse> surge = new ArrayList<>();
        List<RecordingResponse> calm = new ArrayList<>();
        for (int tenth = 0; tenth < 100; tenth++) {
            IntStream.range(0, 50).forEach(i -> surge.add(serve("limited")));
            calm.add(serve("calm"));
            mSite.advance(Duration.ofMillis(100));
            completeAll();
        }
        assertThat(calm.stream().filter(answer -> answer.status() == OK).count()).isEqualTo(100);
        double seconds = (mSite.timers().nowMillis() - begun) / 1000.0;
        long let = surge.stream().filter(answer -> answer.status() == OK).count();
        assertThat(let).isAtMost((long) (10 * seconds) + 10);
        surge.stream()
                .filter(answer -> answer.status() == OVER_LIMIT)
                .forEach(r -> assertThat(r.headers().first("retry-after")).isPresent());
    }

    @Test
    void whenAllEnginesAreFullEachAccountGetsItsTurn() {
        start();
        IntStream.range(0, ENGINES_CAPACITY + 20).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        RecordingResponse calm = serve("calm");
        mSite.advance(Duration.ofMillis(10));
        completeOne();
        completeOne();
        mSite.advance(Duration.ofMillis(200));
        completeAll();
        assertThat(calm.status()).isEqualTo(OK);
    }

    @Test
    void anUrgentRequestGoesBeforeThoseThatWaitAndItsPriorityIsPassedOn() {
        start();
        IntStream.range(0, ENGINES_CAPACITY + 20).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        serve("urgent");
        mSite.advance(Duration.ofMillis(10));
        int before = mSite.backends().sent().size();
        completeOne();
        mSite.advance(Duration.ofMillis(10));
        Sent next = mSite.backends().sent().get(before);
        assertThat(next.request().headers().first("x-client-account")).hasValue("urgent");
        assertThat(next.request().headers().first("x-priority")).hasValue("0");
    }

    @Test
    void aRequestThatWaitsTooLongIsRefusedAsNotRunWithATimeToComeBack() {
        start();
        IntStream.range(0, ENGINES_CAPACITY).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(10));
        RecordingResponse late = serve("calm");
        mSite.advance(Duration.ofMillis(2_100));
        assertThat(late.status()).isEqualTo(OVERLOADED);
        assertThat(late.headers().first("retry-after")).isPresent();
        assertThat(late.body()).contains("\"run\":\"not-run\"");
    }

    @Test
    void moreThanTheRoomHoldsAreRefusedAtOnce() {
        start();
        List<RecordingResponse> answers =
                IntStream.range(0, ENGINES_CAPACITY + ROOM + 10)
                        .mapToObj(i -> serve(Site.KEY))
                        .toList();
        mSite.advance(Duration.ofMillis(150));
        assertThat(answers.stream().filter(answer -> answer.status() == OVERLOADED).count())
                .isAtLeast(10);
    }

    @Test
    void aCallerThatLeavesTheRoomIsNotServed() {
        start();
        IntStream.range(0, ENGINES_CAPACITY).forEach(i -> serve(Site.KEY));
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
    void repeatedCallsAreHeldToTheRetryBudget() {
        start();
        int requests = 40;
        IntStream.range(0, requests).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(50));
        assertThat(mSite.backends().sent()).hasSize(requests);
        open().forEach(this::fail);
        mSite.advance(Duration.ofMillis(50));
        assertThat(mSite.backends().sent().size() - requests).isAtMost(20 + 2);
    }

    @Test
    void theDumpShowsHowManyWait() {
        start();
        IntStream.range(0, ENGINES_CAPACITY + 10).forEach(i -> serve(Site.KEY));
        mSite.advance(Duration.ofMillis(50));
        String dump = String.valueOf(mSite.router(0).state().get("admission"));
        assertThat(dump).containsMatch("assistant=1[0-9]");
    }

    private void start() {
        mSite.apply(SETTINGS);
        List.of("engine-1", "engine-2", "engine-3")
                .forEach(engine -> mSite.engines().report(engine, BUSY));
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
                        "{\"model\":\"m\",\"chat_id\":\"c" + mNumber++ + "\"}"));
    }

    private List<Sent> open() {
        return mSite.backends().sent().stream().filter(sent -> !mOver.contains(sent)).toList();
    }

    private void completeOne() {
        complete(open().get(0));
    }

    private void completeAll() {
        while (!open().isEmpty()) {
            open().forEach(this::complete);
            mSite.advance(Duration.ofMillis(5));
        }
    }

    private void complete(Sent sent) {
        mOver.add(sent);
        sent.head(OK, "application/json").part("{}").complete();
    }

    private void fail(Sent sent) {
        mOver.add(sent);
        sent.fail(BackendFailure.CONNECTION_LOST);
    }
}
