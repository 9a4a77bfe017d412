package io.rhubarbward.engine;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which requests a router sends to cold, leaving and lost engines, and when an engine is cold. */
final class ColdEngineTest {
    private static final int OK = 200;
    private static final int COLD_CONCURRENCY = 1;
    private static final int CONCURRENCY = 16;

    /** One sixteenth is reserved for routers that cannot reach the quota custodian. */
    private static final int LEASED_CONCURRENCY = CONCURRENCY - CONCURRENCY / 16;

    private static final int REQUESTS_PER_ROUND = 60;
    private static final int WARM_SERVED = 1_000_000;
    private static final Duration ACCOUNT_REFILL = Duration.ofSeconds(1);
    private static final String ENGINE = "engine-1";
    private static final int ENGINE_COUNT = 3;
    private static final Duration USUAL_LATENCY = Duration.ofMillis(50);
    private static final Duration SLOW_LATENCY = Duration.ofMillis(400);

    private final Site mSite = Site.start(1);
    private final Set<Sent> mEnded = new HashSet<>();

    @Test
    void aReportAloneDoesNotMakeAColdEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofSeconds(10));
        sendRequests();
        assertThat(openAtEngine()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void timeAloneDoesNotMakeAColdEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofHours(1));
        sendRequests();
        assertThat(openAtEngine()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void failedRequestsDoNotRaiseTheCapacityOfAColdEngine() {
        report(new LoadReport("second", 0, 0, 0, 0));
        for (int round = 0; round < REQUESTS_PER_ROUND; round++) {
            sendRequests();
            assertThat(openAtEngine().size()).isAtMost(COLD_CONCURRENCY);
            openAtEngine().forEach(this::fail);
            mSite.advance(ACCOUNT_REFILL);
        }
    }

    @Test
    void completedRequestsRaiseAColdEngineStepByStepToItsFullConcurrency() {
        report(new LoadReport("second", 0, 0, 0, 0));
        int before = 0;
        int completed = 0;
        while (completed < 10 * CONCURRENCY) {
            sendRequests();
            int open = openAtEngine().size();
            assertThat(open).isAtLeast(before);
            assertThat(open).isAtMost(Math.max(COLD_CONCURRENCY, 2 * before));
            before = open;
            completed += open;
            openAtEngine().forEach(this::complete);
            mSite.advance(ACCOUNT_REFILL);
        }
        assertThat(before).isEqualTo(LEASED_CONCURRENCY);
    }

    @Test
    void requestsOfOtherRoutersCountOnTheSlowStartRamp() {
        report(new LoadReport("second", 0, 0, WARM_SERVED, 0));
        sendRequests();
        assertThat(openAtEngine()).hasSize(LEASED_CONCURRENCY);
    }

    @Test
    void aRestartWithTheSameIncarnationIsDetectedByALowerServedCount() {
        report(new LoadReport("first", 0, 0, 3, 0));
        sendRequests();
        assertThat(openAtEngine()).hasSize(2);
    }

    @Test
    void anEngineThatLosesItsCacheIsColdAgain() {
        report(new LoadReport("first", 0, 0, WARM_SERVED, 50_000));
        report(new LoadReport("first", 0, 0, WARM_SERVED + 10, 1_000));
        sendRequests();
        assertThat(openAtEngine()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void anEngineWhoseFirstTokensSlowDownSharplyIsColdAgain() {
        recordUsualLatencies();
        for (int i = 0; i < 16 && state() == BackendState.READY; i++) {
            answerAfter(SLOW_LATENCY, USUAL_LATENCY);
        }
        assertThat(state()).isEqualTo(BackendState.COLD);
    }

    @Test
    void enginesThatAllSlowDownTogetherAreNotCold() {
        recordUsualLatencies();
        for (int i = 0; i < 16; i++) {
            answerAfter(SLOW_LATENCY, SLOW_LATENCY);
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    /**
     * Guards against a busy period of new chats, all cache misses, that made every engine cold
     * except the idle ones.
     */
    @Test
    void anEngineIsNotComparedWithPeersThatAnsweredNothingInTheSamePeriod() {
        recordUsualLatencies();
        mSite.advance(Duration.ofMinutes(10));
        for (int i = 0; i < 16; i++) {
            answerAlone(SLOW_LATENCY);
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    /**
     * Guards against the first answers to the chats of a rollout, all cache misses, that made both
     * its engines cold.
     */
    @Test
    void chatsThatAreNewToAnEngineDoNotMakeItCold() {
        recordUsualLatencies();
        for (int i = 0; i < 16; i++) {
            answerAfter(SLOW_LATENCY, USUAL_LATENCY, "new-" + i + "-");
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    private void recordUsualLatencies() {
        IntStream.range(0, 80)
                .forEach(i -> answerAfter(USUAL_LATENCY.plusMillis(i % 7), USUAL_LATENCY));
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    @Test
    void anEngineIsLostAfterSeveralMissedReportsButNotAfterOne() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(1));
        assertThat(state()).isEqualTo(BackendState.READY);
        mSite.advance(Duration.ofSeconds(3));
        assertThat(state()).isEqualTo(BackendState.LOST);
    }

    @Test
    void aLostEngineThatAnswersAgainIsColdOnlyIfItRestarted() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(10));
        report(new LoadReport("first", 0, 0, WARM_SERVED, 0));
        assertThat(state()).isEqualTo(BackendState.READY);
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(10));
        report(new LoadReport("second", 0, 0, 0, 0));
        assertThat(state()).isEqualTo(BackendState.COLD);
    }

    @Test
    void aListedEngineThatIsLostForADayIsStillKnown() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofDays(1));
        report(new LoadReport("first", 0, 0, WARM_SERVED, 0));
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    @Test
    void anEngineThatReportsLeavingGetsNoNewRequestsAfterThreeSeconds() {
        mSite.engines().report(ENGINE, new LoadReport("first", 0, 0, WARM_SERVED, 0, true));
        mSite.advance(Duration.ofSeconds(3));
        sendRequests();
        assertThat(openAtEngine()).isEmpty();
    }

    @Test
    void aLateReportOfThePreviousIncarnationDoesNotMakeARestartedEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        report(new LoadReport("first", 0, 0, WARM_SERVED, 0));
        sendRequests();
        assertThat(openAtEngine()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void aDataCentreThatIsOutGetsNoNewRequestsAndReturnsCold() {
        String settingsWithDcAOut =
                Site.SETTINGS.replace(
                        "\"dc-a\": {\"state\": \"in\"}", "\"dc-a\": {\"state\": \"out\"}");
        mSite.apply(settingsWithDcAOut);
        mSite.advance(Duration.ofSeconds(3));
        sendRequests();
        assertThat(openAtEngine()).isEmpty();
        List.of(ENGINE, "engine-2")
                .forEach(e -> mSite.engines().report(e, new LoadReport("second", 0, 0, 0, 0)));
        mSite.apply(Site.SETTINGS);
        mSite.advance(Duration.ofSeconds(3));
        sendRequests();
        assertThat(openAtEngine()).hasSize(COLD_CONCURRENCY);
    }

    private void report(LoadReport report) {
        mSite.engines().report(ENGINE, report);
        mSite.advance(Duration.ofSeconds(2));
    }

    private void sendRequests() {
        IntStream.range(0, REQUESTS_PER_ROUND)
                .mapToObj(i -> Site.chat("c" + i))
                .forEach(chat -> mSite.router(0).serve(chat, new RecordingResponse()));
        mSite.advance(Duration.ZERO);
    }

    private List<Sent> openAtEngine() {
        return mSite.backends().sent().stream()
                .filter(sent -> sent.server().equals(ENGINE))
                .filter(sent -> !mEnded.contains(sent))
                .toList();
    }

    private void complete(Sent sent) {
        mEnded.add(sent);
        sent.head(OK, "application/json").part("{}").complete();
    }

    private void fail(Sent sent) {
        mEnded.add(sent);
        sent.fail(BackendFailure.CONNECTION_LOST);
    }

    /** Lets the engine and all others answer at least one request each, after the given times. */
    private void answerAfter(Duration engineLatency, Duration othersLatency) {
        answerAfter(engineLatency, othersLatency, "turn-");
    }

    private void answerAfter(Duration engineLatency, Duration othersLatency, String chatPrefix) {
        for (int number = 0; enginesWithOpenRequests() < ENGINE_COUNT; number++) {
            mSite.router(0).serve(Site.chat(chatPrefix + number), new RecordingResponse());
            mSite.advance(Duration.ZERO);
        }
        mSite.advance(othersLatency);
        allOpen().filter(sent -> !sent.server().equals(ENGINE)).toList().forEach(this::complete);
        mSite.advance(engineLatency.minus(othersLatency));
        openAtEngine().forEach(this::complete);
    }

    /** Lets only the engine answer; requests to other engines stay open. */
    private void answerAlone(Duration engineLatency) {
        for (int number = 0; openAtEngine().isEmpty(); number++) {
            mSite.router(0).serve(Site.chat("alone-" + number), new RecordingResponse());
            mSite.advance(Duration.ZERO);
        }
        mSite.advance(engineLatency);
        openAtEngine().forEach(this::complete);
    }

    private long enginesWithOpenRequests() {
        return allOpen().map(Sent::server).distinct().count();
    }

    private Stream<Sent> allOpen() {
        return mSite.backends().sent().stream().filter(sent -> !mEnded.contains(sent));
    }

    private BackendState state() {
        return mSite.router(0).backends().stream()
                .filter(status -> status.server().name().equals(ENGINE))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
