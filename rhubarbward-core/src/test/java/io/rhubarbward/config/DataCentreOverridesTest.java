package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.testing.Site;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class DataCentreOverridesTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final ConfigStore mConfigStore = new ConfigStore(mStore);

    @BeforeEach
    void applyInitialFiles() {
        applyFiles("files");
    }

    @Test
    void aChangedStateIsANewGeneration() {
        assertThat(setState("dc-b", DataCentre.State.OUT).get()).isEqualTo(2);
        assertThat(settings().takesWork("dc-b")).isFalse();
        assertThat(settings().takesWork("dc-a")).isTrue();
    }

    @Test
    void applyingFilesThatStateInDoesNotUndoAnOverride() {
        setState("dc-b", DataCentre.State.OUT);
        applyFiles("files again");
        assertThat(settings().takesWork("dc-b")).isFalse();
        setState("dc-b", DataCentre.State.IN);
        assertThat(settings().takesWork("dc-b")).isTrue();
    }

    @Test
    void anUnchangedStateIsNoNewGeneration() {
        setState("dc-b", DataCentre.State.OUT);
        assertThat(setState("dc-b", DataCentre.State.OUT).get()).isEqualTo(2);
    }

    @Test
    void anUnknownDataCentreIsRefused() {
        assertThat(setState("dc-c", DataCentre.State.OUT).getLeft().message())
                .isEqualTo("data centre \"dc-c\": expected one of [dc-a, dc-b]");
    }

    @Test
    void theListHasTheStatesOfEachSite() {
        setState("dc-b", DataCentre.State.OUT);
        assertThat(resultOf(mConfigStore.dataCentres().list()).get())
                .containsExactly("site", Map.of("dc-a", "in", "dc-b", "out"));
    }

    private Either<ConfigFailure, Long> setState(String name, DataCentre.State state) {
        return resultOf(mConfigStore.dataCentres().setState(name, state, name + state));
    }

    private Settings settings() {
        return resultOf(mConfigStore.read("site")).get().settings();
    }

    private void applyFiles(String nonce) {
        resultOf(
                mConfigStore.apply(
                        new SettingsText("base.json", Site.SETTINGS),
                        Map.of("site", new SettingsText("overlay.json", "{}")),
                        nonce));
    }

    private <T> T resultOf(CompletionStage<T> stage) {
        mTimers.runDue();
        AtomicReference<T> result = new AtomicReference<>();
        stage.thenAccept(result::set);
        return Objects.requireNonNull(result.get());
    }
}
