package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.testing.Site;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

final class ConfigStoreTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final ConfigStore mConfigStore = new ConfigStore(mStore);

    @Test
    void eachAcceptedChangeIsTheNextGeneration() {
        assertThat(apply("first").get()).isEqualTo(1);
        assertThat(apply("second").get()).isEqualTo(2);
    }

    @Test
    void aLostAnswerIsResolvedByReadingBack() {
        assertThat(apply("first").get()).isEqualTo(1);
        mStore.faults(PlatformFaults.NONE.withLoseAnswers(1));
        assertThat(apply("second").get()).isEqualTo(2);
    }

    @Test
    void aChangeWhoseWritesHadNoEffectIsNotReportedAsAccepted() {
        assertThat(apply("first").get()).isEqualTo(1);
        mStore.faults(PlatformFaults.NONE.withLoseRequests(3));
        assertThat(apply("second").isLeft()).isTrue();
    }

    @Test
    void oneOfTwoConcurrentChangesIsAcceptedAndTheOtherIsAConflict() {
        AtomicReference<Either<ConfigFailure, Long>> first = startApply("first");
        AtomicReference<Either<ConfigFailure, Long>> second = startApply("second");
        mTimers.runDue();
        assertThat(Objects.requireNonNull(first.get()).get()).isEqualTo(1);
        assertThat(Objects.requireNonNull(second.get()).getLeft())
                .isInstanceOf(ConfigFailure.ChangedMeanwhile.class);
    }

    private Either<ConfigFailure, Long> apply(String nonce) {
        AtomicReference<Either<ConfigFailure, Long>> result = startApply(nonce);
        mTimers.runDue();
        return Objects.requireNonNull(result.get());
    }

    private AtomicReference<Either<ConfigFailure, Long>> startApply(String nonce) {
        AtomicReference<Either<ConfigFailure, Long>> result = new AtomicReference<>();
        mConfigStore
                .apply(
                        new SettingsText("base.json", Site.SETTINGS),
                        Map.of("site", new SettingsText("overlay.json", "{}")),
                        nonce)
                .thenAccept(result::set);
        return result;
    }
}
