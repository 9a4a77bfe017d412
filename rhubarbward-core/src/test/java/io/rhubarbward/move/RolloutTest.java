package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.move.RolloutFixture.Answer;
import io.rhubarbward.move.RolloutFixture.Behaviour;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RolloutTest {
    private static final Duration TIME_TO_FINISH = Duration.ofMinutes(10);
    private static final Duration WATCH_PERIOD = Duration.ofMinutes(5);
    private static final Duration TEST_LIMIT = Duration.ofMinutes(20);

    @Test
    void aGoodVersionFinishesByItsDeadline() {
        RolloutFixture fixture = RolloutFixture.start(3, 1);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        assertThat(fixture.driveUntil(RolloutState.DONE, TEST_LIMIT, RolloutFixture::good))
                .isTrue();
        assertThat(fixture.rollout().finishedLate()).isFalse();
    }

    @Test
    void aVersionThatFailsFromTheStartIsRolledBackAtTheFirstStage() {
        RolloutFixture fixture = RolloutFixture.start(3, 2);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        Behaviour bad = call -> call.newVersion() ? Answer.ERROR : RolloutFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, TEST_LIMIT, bad)).isTrue();
        assertThat(fixture.rollout().history().stream().mapToInt(Rollout.Step::sharePermille).max())
                .hasValue(RolloutPlan.DEFAULT_STAGES.get(0));
    }

    @Test
    void aRolledBackVersionGetsNoMoreWork() {
        RolloutFixture fixture = RolloutFixture.start(3, 3);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        Behaviour bad = call -> call.newVersion() ? Answer.ERROR : RolloutFixture.good(call);
        fixture.driveUntil(RolloutState.TAKEN_BACK, TEST_LIMIT, bad);
        fixture.drive(Duration.ofSeconds(1), bad);
        int before = fixture.newVersionCalls();
        fixture.drive(Duration.ofMinutes(1), bad);
        assertThat(fixture.newVersionCalls()).isEqualTo(before);
    }

    @Test
    void aVersionThatTurnsBadAfterTenMinutesIsRolledBackWithinTheWatchPeriod() {
        RolloutFixture fixture = RolloutFixture.start(3, 4);
        fixture.start(fixture.plan(Duration.ofMinutes(8), Duration.ofMinutes(10)));
        long turnsBadMillis = fixture.now() + Duration.ofMinutes(10).toMillis();
        Behaviour badLater =
                call ->
                        call.newVersion() && call.atMillis() > turnsBadMillis && call.chance() < 0.5
                                ? Answer.ERROR
                                : RolloutFixture.good(call);
        fixture.driveUntil(RolloutState.WATCHING, TEST_LIMIT, badLater);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, TEST_LIMIT, badLater)).isTrue();
    }

    @Test
    void aVersionThatIsSlowUnderLoadIsRolledBack() {
        RolloutFixture fixture = RolloutFixture.start(3, 5);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        Behaviour loadBound =
                call ->
                        call.newVersion() && call.newCallsThisSecond() > 8
                                ? Answer.SLOW
                                : RolloutFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, TEST_LIMIT, loadBound)).isTrue();
        assertThat(fixture.rollout().reason()).isEqualTo(RolloutReason.FIRST_TOKEN);
    }

    @Test
    void aVersionThatIsSlowOnOneRouteIsRolledBackForThatRoute() {
        RolloutFixture fixture = RolloutFixture.start(3, 9);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        Behaviour oneRoute =
                call ->
                        call.newVersion() && call.path().equals(RolloutFixture.EMBEDDINGS_PATH)
                                ? Answer.SLOW
                                : RolloutFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, TEST_LIMIT, oneRoute)).isTrue();
        assertThat(fixture.rollout().reasonRoute()).isEqualTo(RolloutFixture.EMBEDDINGS_PATH);
    }

    @Test
    void aGoodVersionIsNotRolledBackForABadMinuteOfTheWholeFleet() {
        RolloutFixture fixture = RolloutFixture.start(3, 6);
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        long from = fixture.now() + Duration.ofMinutes(5).toMillis();
        long until = from + Duration.ofMinutes(1).toMillis();
        Behaviour badMinute =
                call ->
                        call.atMillis() >= from && call.atMillis() < until && call.chance() < 0.4
                                ? Answer.ERROR
                                : RolloutFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.DONE, TEST_LIMIT, badMinute)).isTrue();
    }

    @Test
    void aVersionWithTooFewServersIsReportedLateBeforeItsDeadline() {
        RolloutFixture fixture = RolloutFixture.start(3, 7);
        fixture.site().engines().report("old-1", report(200));
        RolloutPlan plan = fixture.plan(TIME_TO_FINISH, WATCH_PERIOD);
        fixture.start(plan);
        assertThat(fixture.driveUntil(RolloutState.LATE, TEST_LIMIT, RolloutFixture::good))
                .isTrue();
        assertThat(fixture.now()).isLessThan(plan.finishByMillis());
        assertThat(fixture.rollout().reason()).isEqualTo(RolloutReason.CAPACITY);
    }

    private static io.rhubarbward.engine.LoadReport report(int running) {
        return new io.rhubarbward.engine.LoadReport("first", running, 0, 0, 0);
    }

    @Test
    void theVersionOfAPlannedRolloutGetsNoWork() {
        RolloutFixture fixture = RolloutFixture.start(3, 8);
        fixture.site().engines().silence("new-1");
        fixture.site().engines().silence("new-2");
        fixture.site().advance(Duration.ofSeconds(3));
        fixture.start(fixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        fixture.drive(Duration.ofSeconds(10), RolloutFixture::good);
        assertThat(fixture.state()).isEqualTo(RolloutState.PLANNED);
        assertThat(fixture.newVersionCalls()).isEqualTo(0);
    }
}
