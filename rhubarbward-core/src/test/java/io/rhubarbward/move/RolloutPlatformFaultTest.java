package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.move.RolloutFixture.Answer;
import io.rhubarbward.move.RolloutFixture.Behaviour;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.store.memory.PlatformFaults;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Rollouts while the platform is out, slow or loses answers. */
final class RolloutPlatformFaultTest {
    private static final Duration TIME_TO_FINISH = Duration.ofMinutes(10);
    private static final Duration WATCH_PERIOD = Duration.ofMinutes(2);
    private static final Duration TEST_LIMIT = Duration.ofMinutes(25);
    private static final Duration OUTAGE = Duration.ofMinutes(3);

    private final RolloutFixture mFixture = RolloutFixture.start(3, 21);

    @ParameterizedTest
    @EnumSource(names = {"PLANNED", "RUNNING", "WATCHING"})
    void noRolloutAdvancesDuringAnOutageAndItFinishesAfterwards(RolloutState state) {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.driveUntil(state, TEST_LIMIT, RolloutFixture::good);
        Rollout before = mFixture.rollout();
        platformDown(true);
        mFixture.drive(OUTAGE, RolloutFixture::good);
        platformDown(false);
        Rollout after = mFixture.rollout();
        assertThat(after.sharePermille()).isEqualTo(before.sharePermille());
        assertThat(after.state()).isEqualTo(before.state());
        assertThat(mFixture.driveUntil(RolloutState.DONE, TEST_LIMIT, RolloutFixture::good))
                .isTrue();
    }

    @Test
    void aBadVersionIsStoppedWhileThePlatformIsOutAndRecordedAfterwards() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(4), RolloutFixture::good);
        platformDown(true);
        Behaviour bad = call -> call.newVersion() ? Answer.ERROR : RolloutFixture.good(call);
        mFixture.drive(Duration.ofMinutes(1), bad);
        int before = mFixture.newVersionCalls();
        mFixture.drive(Duration.ofMinutes(2), bad);
        assertThat(mFixture.newVersionCalls()).isEqualTo(before);
        platformDown(false);
        assertThat(mFixture.driveUntil(RolloutState.TAKEN_BACK, Duration.ofMinutes(1), bad))
                .isTrue();
    }

    @Test
    void aSlowVersionIsStoppedEverywhereWhileThePlatformIsOut() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(6), RolloutFixture::good);
        platformDown(true);
        Behaviour slow = call -> call.newVersion() ? Answer.SLOW : RolloutFixture.good(call);
        mFixture.drive(Duration.ofMinutes(2), slow);
        int before = mFixture.newVersionCalls();
        mFixture.drive(Duration.ofMinutes(1), slow);
        assertThat(mFixture.newVersionCalls()).isEqualTo(before);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aRolloutFinishesInTimeThoughAnswersToWritesAreLost(int seed) {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        Behaviour good =
                call -> {
                    if (call.chance() < 0.02 * seed) {
                        mFixture.site().store().faults(PlatformFaults.NONE.withLoseAnswers(1));
                    }
                    return RolloutFixture.good(call);
                };
        assertThat(mFixture.driveUntil(RolloutState.DONE, TEST_LIMIT, good)).isTrue();
        assertThat(mFixture.rollout().finishedLate()).isFalse();
    }

    @Test
    void anOperatorsUndoTakesEffectAtAllRoutersWithinFiveSeconds() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(5), RolloutFixture::good);
        mFixture.store().undo("up", "operator", mFixture.now());
        mFixture.drive(Duration.ofSeconds(5), RolloutFixture::good);
        int before = mFixture.newVersionCalls();
        mFixture.drive(Duration.ofMinutes(2), RolloutFixture::good);
        assertThat(mFixture.newVersionCalls()).isEqualTo(before);
        assertThat(mFixture.state()).isEqualTo(RolloutState.TAKEN_BACK);
    }

    @Test
    void aRouterCutOffFromPlatformAndPeersKeepsItsShare() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(3), RolloutFixture::good);
        RouterNode cut = mFixture.site().router(2);
        mFixture.site().peers().cut((from, to) -> from.equals("entry-3") || to.equals("entry-3"));
        platformDown(true);
        Object before = rolloutState(cut).get("rollouts");
        mFixture.drive(OUTAGE, RolloutFixture::good);
        assertThat(rolloutState(cut).get("rollouts")).isEqualTo(before);
    }

    @Test
    void aNewRouterLearnsTheRolloutsFromItsPeersDuringAnOutage() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        platformDown(true);
        mFixture.site().addRouter("entry-9", "dc-a", List.of("entry-2:1"));
        mFixture.site().advance(Duration.ofSeconds(5));
        Map<?, ?> state = rolloutState(mFixture.site().router(3));
        assertThat(state.get("known")).isEqualTo(true);
        assertThat(String.valueOf(state.get("rollouts"))).contains("name=up");
    }

    @Test
    void noRolloutAdvancesWhileAllRoutersAreCutOffFromEachOther() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(3), RolloutFixture::good);
        mFixture.site().peers().cut((from, to) -> true);
        mFixture.drive(Duration.ofSeconds(10), RolloutFixture::good);
        int before = mFixture.rollout().sharePermille();
        mFixture.drive(Duration.ofMinutes(4), RolloutFixture::good);
        assertThat(mFixture.rollout().sharePermille()).isEqualTo(before);
    }

    @Test
    void aControllerCutOffFromItsPeersLosesTheLeaseToAnother() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(3), RolloutFixture::good);
        long fence = mFixture.rollout().fence();
        String old = controller();
        cutOff(old);
        mFixture.drive(Duration.ofMinutes(1), RolloutFixture::good);
        assertThat(controller()).isNotEqualTo(old);
        assertThat(mFixture.driveUntil(RolloutState.DONE, TEST_LIMIT, RolloutFixture::good))
                .isTrue();
        assertThat(mFixture.rollout().fence()).isGreaterThan(fence);
    }

    @Test
    void aControllerThatLeavesIsReplacedAndTheRolloutFinishes() {
        mFixture.start(mFixture.plan(TIME_TO_FINISH, WATCH_PERIOD));
        mFixture.drive(Duration.ofMinutes(3), RolloutFixture::good);
        long fence = mFixture.rollout().fence();
        String controller = controller();
        cutOff(controller);
        mFixture.site().vms().removeIf(vm -> vm.name().equals(controller));
        assertThat(mFixture.driveUntil(RolloutState.DONE, TEST_LIMIT, RolloutFixture::good))
                .isTrue();
        assertThat(mFixture.rollout().fence()).isGreaterThan(fence);
        assertThat(mFixture.rollout().finishedLate()).isFalse();
    }

    private void cutOff(String vm) {
        mFixture.site().peers().cut((from, to) -> from.equals(vm) || to.equals(vm));
    }

    private String controller() {
        return mFixture.site().routers().stream()
                .map(RolloutPlatformFaultTest::rolloutState)
                .filter(state -> Boolean.TRUE.equals(state.get("holdsLease")))
                .map(state -> String.valueOf(state.get("controller")))
                .findFirst()
                .orElseThrow();
    }

    private static Map<?, ?> rolloutState(RouterNode router) {
        return (Map<?, ?>) Objects.requireNonNull(router.state().get("move"));
    }

    private void platformDown(boolean down) {
        mFixture.site().store().faults(PlatformFaults.NONE.withDown(down));
    }
}
