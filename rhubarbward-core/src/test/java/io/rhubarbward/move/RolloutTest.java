package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.move.MoveFixture.Answer;
import io.rhubarbward.move.MoveFixture.Behaviour;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RolloutTest {
    private static final Duration FINISH = Duration.ofMinutes(10);
    private static final Duration WATCH = Duration.ofMinutes(5);
    private static final Duration LIMIT = Duration.ofMinutes(20);

    @Test
    void aGoodVersionFinishesByItsTime() {
        MoveFixture fixture = MoveFixture.start(3, 1);
        fixture.start(fixture.plan(FINISH, WATCH));
        assertThat(fixture.driveUntil(RolloutState.DONE, LIMIT, MoveFixture::good)).isTrue();
        assertThat(fixture.rollout().finishedLate()).isFalse();
    }

    @Test
    void aVersionThatIsBadAtOnceIsTakenBackAtASmallShare() {
        MoveFixture fixture = MoveFixture.start(3, 2);
        fixture.start(fixture.plan(FINISH, WATCH));
        Behaviour bad = call -> call.newVersion() ? Answer.ERROR : MoveFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, LIMIT, bad)).isTrue();
        assertThat(fixture.rollout().history().stream().mapToInt(Rollout.Step::sharePermille).max())
                .hasValue(RolloutPlan.DEFAULT_STAGES.get(0));
    }

    @Test
    void aTakenBackVersionGetsNoMoreWork() {
        MoveFixture fixture = MoveFixture.start(3, 3);
        fixture.start(fixture.plan(FINISH, WATCH));
        Behaviour bad = call -> call.newVersion() ? Answer.ERROR : MoveFixture.good(call);
        fixture.driveUntil(RolloutState.TAKEN_BACK, LIMIT, bad);
        fixture.drive(Duration.ofSeconds(1), bad);
        int before = fixture.toNew();
        fixture.drive(Duration.ofMinutes(1), bad);
        assertThat(fixture.toNew()).isEqualTo(before);
    }

    @Test
    void aVersionThatTurnsBadAfterTenMinutesIsTakenBackWithinTheWatch() {
        MoveFixture fixture = MoveFixture.start(3, 4);
        fixture.start(fixture.plan(Duration.ofMinutes(8), Duration.ofMinutes(10)));
        long turns = fixture.now() + Duration.ofMinutes(10).toMillis();
        Behaviour later =
                call ->
                        call.newVersion() && call.atMillis() > turns && call.chance() < 0.5
                                ? Answer.ERROR
                                : MoveFixture.good(call);
        fixture.driveUntil(RolloutState.WATCHING, LIMIT, later);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, LIMIT, later)).isTrue();
    }

    @Test
    void aVersionThatIsSlowAboveHalfTheLoadIsTakenBack() {
        MoveFixture fixture = MoveFixture.start(3, 5);
        fixture.start(fixture.plan(FINISH, WATCH));
        Behaviour loadBound =
                call ->
                        call.newVersion() && call.newCallsThisSecond() > 8
                                ? Answer.SLOW
                                : MoveFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, LIMIT, loadBound)).isTrue();
        assertThat(fixture.rollout().reason()).isEqualTo(RolloutReason.FIRST_TOKEN);
    }

    @Test
    void aVersionThatIsBadOnOneRouteIsTakenBackForThatRoute() {
        MoveFixture fixture = MoveFixture.start(3, 9);
        fixture.start(fixture.plan(FINISH, WATCH));
        Behaviour oneRoute =
                call ->
                        call.newVersion() && call.path().equals(MoveFixture.EMBED)
                                ? Answer.SLOW
                                : MoveFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.TAKEN_BACK, LIMIT, oneRoute)).isTrue();
        assertThat(fixture.rollout().reasonRoute()).isEqualTo(MoveFixture.EMBED);
    }

    @Test
    void aGoodVersionOutlivesABadMinuteOfTheFleet() {
        MoveFixture fixture = MoveFixture.start(3, 6);
        fixture.start(fixture.plan(FINISH, WATCH));
        long from = fixture.now() + Duration.ofMinutes(5).toMillis();
        long until = from + Duration.ofMinutes(1).toMillis();
        Behaviour badMinute =
                call ->
                        call.atMillis() >= from && call.atMillis() < until && call.chance() < 0.4
                                ? Answer.ERROR
                                : MoveFixture.good(call);
        assertThat(fixture.driveUntil(RolloutState.DONE, LIMIT, badMinute)).isTrue();
    }

    @Test
    void aVersionWithTooFewServersIsReportedLateBeforeItsTime() {
        MoveFixture fixture = MoveFixture.start(3, 7);
        fixture.site().engines().report("old-1", report(200));
        RolloutPlan plan = fixture.plan(FINISH, WATCH);
        fixture.start(plan);
        assertThat(fixture.driveUntil(RolloutState.LATE, LIMIT, MoveFixture::good)).isTrue();
        assertThat(fixture.now()).isLessThan(plan.finishByMillis());
        assertThat(fixture.rollout().reason()).isEqualTo(RolloutReason.CAPACITY);
    }

    private static io.rhubarbward.engine.LoadReport report(int running) {
        return new io.rhubarbward.engine.LoadReport("first", running, 0, 0, 0);
    }

    @Test
    void beforeARolloutStartsItsVersionGetsNoWork() {
        MoveFixture fixture = MoveFixture.start(3, 8);
        fixture.site().engines().silence("new-1");
        fixture.site().engines().silence("new-2");
        fixture.site().advance(Duration.ofSeconds(3));
        fixture.start(fixture.plan(FINISH, WATCH));
        fixture.drive(Duration.ofSeconds(10), MoveFixture::good);
        assertThat(fixture.state()).isEqualTo(RolloutState.PLANNED);
        assertThat(fixture.toNew()).isEqualTo(0);
    }
}
