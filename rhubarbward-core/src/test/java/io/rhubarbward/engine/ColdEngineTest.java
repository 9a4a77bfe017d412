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

/** What cold, leaving and lost engines are given, from the caller's request to the engine. */
final class ColdEngineTest {
    private static final int OK = 200;
    private static final int COLD_CONCURRENCY = 1;
    private static final int CONCURRENCY = 16;

    /** A sixteenth is kept back for routers that reach no custodian. */
    private static final int LEASED_CONCURRENCY = CONCURRENCY - CONCURRENCY / 16;

    private static final int REQUESTS = 60;
    private static final int SERVED = 1_000_000;
    private static final Duration ACCOUNT_REFILL = Duration.ofSeconds(1);
    private static final String ENGINE = "engine-1";
    private static final int ENGINES = 3;
    private static final Duration USUAL = Duration.ofMillis(50);
    private static final Duration SLOW = Duration.ofMillis(400);

    private final Site mSite = Site.start(1);
    private final Set<Sent> mOver = new HashSet<>();

    @Test
    void aReportAloneDoesNotMakeAColdEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofSeconds(10));
        flood();
        assertThat(open()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void timeAloneDoesNotMakeAColdEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofHours(1));
        flood();
        assertThat(open()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void failedWorkDoesNotLiftAColdEngine() {
        report(new LoadReport("second", 0, 0, 0, 0));
        for (int round = 0; round < REQUESTS; round++) {
            flood();
            assertThat(open().size()).isAtMost(COLD_CONCURRENCY);
            open().forEach(this::fail);
            mSite.advance(ACCOUNT_REFILL);
        }
    }

    @Test
    void completedWorkLiftsAColdEngineStepByStepToItsFullLoad() {
        report(new LoadReport("second", 0, 0, 0, 0));
        int before = 0;
        int completed = 0;
        while (completed < 10 * CONCURRENCY) {
            flood();
            int open = open().size();
            assertThat(open).isAtLeast(before);
            assertThat(open).isAtMost(Math.max(COLD_CONCURRENCY, 2 * before));
            before = open;
            completed += open;
            open().forEach(this::complete);
            mSite.advance(ACCOUNT_REFILL);
        }
        assertThat(before).isEqualTo(LEASED_CONCURRENCY);
    }

    @Test
    void workThatOtherRoutersSentLiftsAnEngineHereToo() {
        report(new LoadReport("second", 0, 0, SERVED, 0));
        flood();
        assertThat(open()).hasSize(LEASED_CONCURRENCY);
    }

    @Test
    void aSilentRestartBetweenTwoReportsIsSeenByTheFallOfServedRequests() {
        report(new LoadReport("first", 0, 0, 3, 0));
        flood();
        assertThat(open()).hasSize(2);
    }

    @Test
    void anEngineThatLosesItsCacheIsColdAgain() {
        report(new LoadReport("first", 0, 0, SERVED, 50_000));
        report(new LoadReport("first", 0, 0, SERVED + 10, 1_000));
        flood();
        assertThat(open()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void anEngineWhoseFirstTokensComeFarLaterThanItsPastIsColdAgain() {
        learnUsualTimes();
        for (int i = 0; i < 16 && state() == BackendState.READY; i++) {
            answerAfter(SLOW, USUAL);
        }
        assertThat(state()).isEqualTo(BackendState.COLD);
    }

    @Test
    void enginesThatAllSlowDownTogetherAreNotCold() {
        learnUsualTimes();
        for (int i = 0; i < 16; i++) {
            answerAfter(SLOW, SLOW);
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    /**
     * A busy period of new chats, all cache misses, once made every engine but the idle ones cold.
     */
    @Test
    void anEngineIsNotComparedWithThoseThatAnswerNothingNow() {
        learnUsualTimes();
        mSite.advance(Duration.ofMinutes(10));
        for (int i = 0; i < 16; i++) {
            answerAlone(SLOW);
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    /**
     * The first answers to a rollout's chats, all cache misses, once made both its engines cold.
     */
    @Test
    void chatsThatAreNewToAnEngineDoNotMakeItCold() {
        learnUsualTimes();
        for (int i = 0; i < 16; i++) {
            answerAfter(SLOW, USUAL, "new-" + i + "-");
        }
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    private void learnUsualTimes() {
        IntStream.range(0, 80).forEach(i -> answerAfter(USUAL.plusMillis(i % 7), USUAL));
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    @Test
    void oneMissedReportDoesNotThrowAnEngineOut() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(1));
        assertThat(state()).isEqualTo(BackendState.READY);
        mSite.advance(Duration.ofSeconds(3));
        assertThat(state()).isEqualTo(BackendState.LOST);
    }

    @Test
    void aLostEngineThatAnswersAgainIsColdUnlessItIsTheSameProcess() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(10));
        report(new LoadReport("first", 0, 0, SERVED, 0));
        assertThat(state()).isEqualTo(BackendState.READY);
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(10));
        report(new LoadReport("second", 0, 0, 0, 0));
        assertThat(state()).isEqualTo(BackendState.COLD);
    }

    @Test
    void anEngineThatIsLostForLongIsNotForgotten() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofDays(1));
        report(new LoadReport("first", 0, 0, SERVED, 0));
        assertThat(state()).isEqualTo(BackendState.READY);
    }

    @Test
    void anEngineThatReportsThatItLeavesGetsNoNewWorkWithinThreeSeconds() {
        mSite.engines().report(ENGINE, new LoadReport("first", 0, 0, SERVED, 0, true));
        mSite.advance(Duration.ofSeconds(3));
        flood();
        assertThat(open()).isEmpty();
    }

    @Test
    void aLateReportOfTheProcessBeforeDoesNotMakeARestartedEngineReady() {
        report(new LoadReport("second", 0, 0, 0, 0));
        report(new LoadReport("first", 0, 0, SERVED, 0));
        flood();
        assertThat(open()).hasSize(COLD_CONCURRENCY);
    }

    @Test
    void aDataCentreThatIsOutGetsNoNewWorkAndReturnsCold() {
        String out =
                Site.SETTINGS.replace(
                        "\"dc-a\": {\"state\": \"in\"}", "\"dc-a\": {\"state\": \"out\"}");
        mSite.apply(out);
        mSite.advance(Duration.ofSeconds(3));
        flood();
        assertThat(open()).isEmpty();
        List.of(ENGINE, "engine-2")
                .forEach(e -> mSite.engines().report(e, new LoadReport("second", 0, 0, 0, 0)));
        mSite.apply(Site.SETTINGS);
        mSite.advance(Duration.ofSeconds(3));
        flood();
        assertThat(open()).hasSize(COLD_CONCURRENCY);
    }

    private void report(LoadReport report) {
        mSite.engines().report(ENGINE, report);
        mSite.advance(Duration.ofSeconds(2));
    }

    private void flood() {
        IntStream.range(0, REQUESTS)
                .mapToObj(i -> Site.chat("c" + i))
                .forEach(chat -> mSite.router(0).serve(chat, new RecordingResponse()));
        mSite.advance(Duration.ZERO);
    }

    private List<Sent> open() {
        return mSite.backends().sent().stream()
                .filter(sent -> sent.server().equals(ENGINE))
                .filter(sent -> !mOver.contains(sent))
                .toList();
    }

    private void complete(Sent sent) {
        mOver.add(sent);
        sent.head(OK, "application/json").part("{}").complete();
    }

    private void fail(Sent sent) {
        mOver.add(sent);
        sent.fail(BackendFailure.CONNECTION_LOST);
    }

    /** Has the engine answer after the one time, and the others, each at least once, the other. */
    private void answerAfter(Duration engineTime, Duration othersTime) {
        answerAfter(engineTime, othersTime, "turn-");
    }

    private void answerAfter(Duration engineTime, Duration othersTime, String chats) {
        for (int number = 0; openServers() < ENGINES; number++) {
            mSite.router(0).serve(Site.chat(chats + number), new RecordingResponse());
            mSite.advance(Duration.ZERO);
        }
        mSite.advance(othersTime);
        all().filter(sent -> !sent.server().equals(ENGINE)).toList().forEach(this::complete);
        mSite.advance(engineTime.minus(othersTime));
        open().forEach(this::complete);
    }

    /** Has only the engine answer; what goes to others stays open. */
    private void answerAlone(Duration engineTime) {
        for (int number = 0; open().isEmpty(); number++) {
            mSite.router(0).serve(Site.chat("alone-" + number), new RecordingResponse());
            mSite.advance(Duration.ZERO);
        }
        mSite.advance(engineTime);
        open().forEach(this::complete);
    }

    private long openServers() {
        return all().map(Sent::server).distinct().count();
    }

    private Stream<Sent> all() {
        return mSite.backends().sent().stream().filter(sent -> !mOver.contains(sent));
    }

    private BackendState state() {
        return mSite.router(0).backends().stream()
                .filter(status -> status.server().name().equals(ENGINE))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
