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
    private final ConfigStore mConfigs = new ConfigStore(mStore);

    @BeforeEach
    void acceptTheFiles() {
        applyFiles("files");
    }

    @Test
    void anOrderIsAGenerationLikeAnyOther() {
        assertThat(order("dc-b", DataCentre.State.OUT).get()).isEqualTo(2);
        assertThat(settings().takesWork("dc-b")).isFalse();
        assertThat(settings().takesWork("dc-a")).isTrue();
    }

    @Test
    void filesThatStillSayInDoNotCancelAnOrder() {
        order("dc-b", DataCentre.State.OUT);
        applyFiles("files again");
        assertThat(settings().takesWork("dc-b")).isFalse();
        order("dc-b", DataCentre.State.IN);
        assertThat(settings().takesWork("dc-b")).isTrue();
    }

    @Test
    void anOrderThatChangesNothingIsNoNewGeneration() {
        order("dc-b", DataCentre.State.OUT);
        assertThat(order("dc-b", DataCentre.State.OUT).get()).isEqualTo(2);
    }

    @Test
    void anUnknownDataCentreIsRefused() {
        assertThat(order("dc-c", DataCentre.State.OUT).getLeft().message())
                .isEqualTo("data centre \"dc-c\": expected one of [dc-a, dc-b]");
    }

    @Test
    void theListTellsEachSitesStates() {
        order("dc-b", DataCentre.State.OUT);
        assertThat(run(mConfigs.dataCentres().list()).get())
                .containsExactly("site", Map.of("dc-a", "in", "dc-b", "out"));
    }

    private Either<ConfigFailure, Long> order(String name, DataCentre.State state) {
        return run(mConfigs.dataCentres().setState(name, state, name + state));
    }

    private Settings settings() {
        return run(mConfigs.read("site")).get().settings();
    }

    private void applyFiles(String nonce) {
        run(
                mConfigs.apply(
                        new SettingsText("base.json", Site.SETTINGS),
                        Map.of("site", new SettingsText("overlay.json", "{}")),
                        nonce));
    }

    private <T> T run(CompletionStage<T> stage) {
        mTimers.runDue();
        AtomicReference<T> result = new AtomicReference<>();
        stage.thenAccept(result::set);
        return Objects.requireNonNull(result.get());
    }
}
