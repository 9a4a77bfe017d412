package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class RolloutStoreTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mObjects = new MemoryObjectStore(mTimers);
    private final RolloutStore mStore = new RolloutStore(mObjects);

    private static Rollout planned(String name) {
        RolloutPlan plan =
                new RolloutPlan(
                        "assistant",
                        "1",
                        "2",
                        0,
                        60_000,
                        RolloutPlan.DEFAULT_STAGES,
                        1,
                        0,
                        Map.of());
        return Rollout.planned(name, plan, "nonce-" + name);
    }

    private <T> T await(CompletionStage<T> stage) {
        mTimers.advance(Duration.ofSeconds(1));
        return stage.toCompletableFuture().join();
    }

    @Test
    void anUpdateAfterAConcurrentUndoFailsAndReportsTheNewState() {
        StoredRollout first = await(mStore.start(planned("up"))).get();
        await(mStore.undo("up", "operator", 1));
        Either<RolloutFailure, StoredRollout> late =
                await(
                        mStore.update(
                                first.rollout().atStage(0, 2).withWriter(1, "controller"),
                                first.version()));
        assertThat(late.getLeft())
                .isEqualTo(new RolloutFailure.ChangedMeanwhile("up", RolloutState.TAKEN_BACK));
    }

    @Test
    void ofTwoConcurrentUndosOneSucceeds() {
        await(mStore.start(planned("up")));
        CompletionStage<Either<RolloutFailure, StoredRollout>> one = mStore.undo("up", "one", 1);
        CompletionStage<Either<RolloutFailure, StoredRollout>> two = mStore.undo("up", "two", 1);
        assertThat(await(one).isRight()).isTrue();
        assertThat(await(two).isRight()).isFalse();
    }

    @Test
    void ofTwoConcurrentStartsForOneServiceAtMostOneSucceeds() {
        mObjects.faults(PlatformFaults.NONE.withDelayMillis(10));
        CompletionStage<Either<RolloutFailure, StoredRollout>> one = mStore.start(planned("a"));
        CompletionStage<Either<RolloutFailure, StoredRollout>> two = mStore.start(planned("b"));
        assertThat(await(one).isRight() && await(two).isRight()).isFalse();
        long underWay =
                await(mStore.list()).get().stream()
                        .filter(stored -> !stored.rollout().state().terminal())
                        .count();
        assertThat(underWay).isAtMost(1);
    }

    @Test
    void aWriteWhoseAnswerWasLostIsRecognizedByItsNonce() {
        mObjects.faults(PlatformFaults.NONE.withLoseAnswers(1));
        assertThat(await(mStore.start(planned("up"))).isRight()).isTrue();
    }

    @Test
    void aCorruptRecordHidesNoOtherInTheList() {
        await(mStore.start(planned("up")));
        await(mObjects.create(ObjectKey.of("moves/broken"), "{"));
        assertThat(await(mStore.list()).get()).hasSize(1);
    }

    @Test
    void theHistoryStaysBoundedAndKeepsStateChanges() {
        Rollout rollout = planned("up").atStage(0, 1);
        for (int i = 2; i < 2_000; i++) {
            rollout = rollout.withHistoryStep(i);
        }
        rollout = rollout.atStage(1, 2_000);
        assertThat(rollout.history().size()).isAtMost(200);
        assertThat(rollout.history().get(0).state()).isEqualTo(RolloutState.PLANNED);
        assertThat(rollout.history().get(1).atMillis()).isEqualTo(1);
    }
}
