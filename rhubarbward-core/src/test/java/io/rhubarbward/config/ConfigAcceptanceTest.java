package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.testing.Site;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ConfigAcceptanceTest {
    private static final int ACCOUNTS = 16_000;
    private static final String CHANGED_SETTINGS =
            Site.SETTINGS.replace("\"burst\": 1000", "\"burst\": 999");

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final ConfigStore mConfigStore = new ConfigStore(mStore);

    @Test
    void aHeadWriteThatTookNoEffectIsSentAgain() {
        apply("first", Site.SETTINGS);
        mStore.faults(PlatformFaults.NONE.withLoseRequests(1));
        assertThat(apply("second", Site.SETTINGS).get()).isEqualTo(2);
    }

    @Test
    void aChangeWhoseAnswerWasLostIsRecognisedAfterAnotherOperatorsChange() {
        apply("first", Site.SETTINGS);
        ConfigStore storeWithLostAnswer =
                new ConfigStore(withLostFirstAnswer(() -> startApply("third", CHANGED_SETTINGS)));
        assertThat(resultOf(apply(storeWithLostAnswer, "second", Site.SETTINGS)).get())
                .isEqualTo(2);
        assertThat(resultOf(mConfigStore.generation()).get()).isEqualTo(3);
    }

    @Test
    void theLoserOfTwoConcurrentChangesIsToldTheDifferences() {
        apply("first", Site.SETTINGS);
        AtomicReference<Either<ConfigFailure, Long>> winner =
                startApply("winner", CHANGED_SETTINGS);
        AtomicReference<Either<ConfigFailure, Long>> loser =
                startApply("loser", CHANGED_SETTINGS.replace("999", "998"));
        mTimers.runDue();
        assertThat(Objects.requireNonNull(winner.get()).get()).isEqualTo(2);
        assertThat(Objects.requireNonNull(loser.get()).getLeft())
                .isEqualTo(
                        new ConfigFailure.ChangedMeanwhile(
                                1,
                                2,
                                List.of(
                                        new ChangedSetting(
                                                "base", "accounts.acme.burst", "1000", "999"))));
    }

    @Test
    void aChangeMadeOnAnOldGenerationIsRefusedWithTheDifference() {
        apply("first", Site.SETTINGS);
        apply("second", CHANGED_SETTINGS);
        ConfigFailure refused =
                resultOf(
                                mConfigStore.apply(
                                        text(Site.SETTINGS), Map.of(), "third", OptionalLong.of(1)))
                        .getLeft();
        assertThat(refused.message()).contains("accounts.acme.burst: 1000 -> 999");
    }

    @Test
    void anUndoIsANewGenerationWithThePreviousSettings() {
        apply("first", Site.SETTINGS);
        apply("second", CHANGED_SETTINGS);
        assertThat(resultOf(mConfigStore.undo("undo", OptionalLong.of(2))).get()).isEqualTo(3);
        Configuration undone = resultOf(mConfigStore.read("site")).get();
        assertThat(undone.generation()).isEqualTo(3);
        assertThat(account(undone).burst()).isEqualTo(1000);
    }

    @Test
    void theNextGenerationExceedsThatOfEveryRouterAfterABackupIsRestored() {
        apply("first", Site.SETTINGS);
        MemoryObjectStore.Backup backup = mStore.backup();
        apply("second", Site.SETTINGS);
        apply("third", Site.SETTINGS);
        mStore.restore(backup);
        DataCentreStatus status = new DataCentreStatus("dc-a", 0, Map.of("entry-1", 3L));
        mStore.create(ConfigKeys.status("dc-a"), status.render());
        assertThat(apply("fourth", Site.SETTINGS).get()).isEqualTo(4);
    }

    @Test
    void theNextGenerationExceedsThatOfEveryRouterAfterTheHeadIsDeleted() {
        apply("first", Site.SETTINGS);
        long version = resultOf(mStore.read(ConfigKeys.HEAD)).get().version();
        mStore.delete(ConfigKeys.HEAD, version);
        mStore.create(
                ConfigKeys.status("dc-a"),
                new DataCentreStatus("dc-a", 0, Map.of("entry-1", 1L)).render());
        assertThat(apply("second", Site.SETTINGS).get()).isEqualTo(2);
    }

    @Test
    void sixteenThousandAccountsFitAndAOneLineChangeWritesOneChunkAndTheHead() {
        String settings = manyAccounts("10");
        apply("first", settings);
        assertThat(largestValueBytes()).isAtMost(ObjectStore.MAX_VALUE_BYTES);
        long before = mStore.writes();
        assertThat(apply("second", manyAccounts("11")).get()).isEqualTo(2);
        assertThat(mStore.writes() - before).isEqualTo(2);
        assertThat(resultOf(mConfigStore.read("site")).get().settings().accounts())
                .hasSize(ACCOUNTS + 1);
    }

    @Test
    void aCommentDoesNotChangeTheChunks() {
        apply("first", Site.SETTINGS);
        long before = mStore.writes();
        apply("second", "// a comment\n" + Site.SETTINGS);
        assertThat(mStore.writes() - before).isEqualTo(1);
    }

    @Test
    void unusedChunksAreGarbageCollectedAndThoseInUseStay() {
        int changes = 200;
        IntStream.rangeClosed(1, changes)
                .forEach(
                        change ->
                                apply(
                                        "nonce-" + change,
                                        Site.SETTINGS.replace("1000}", (1000 + change) + "}")));
        int chunks = resultOf(mStore.list(ConfigKeys.CHUNK_PREFIX)).get().size();
        assertThat(chunks).isAtMost(changes - 64);
        assertThat(account(resultOf(mConfigStore.read("site")).get()).burst())
                .isEqualTo(1000 + changes);
        assertThat(resultOf(mConfigStore.undo("undo", OptionalLong.empty())).isRight()).isTrue();
        assertThat(resultOf(mConfigStore.read("site")).isRight()).isTrue();
    }

    @Test
    void aMarkedChunkThatIsUsedAgainIsNotDeleted() {
        apply("first", Site.SETTINGS);
        String name = resultOf(mStore.list(ConfigKeys.CHUNK_PREFIX)).get().get(0).key().path();
        ConfigObjects objects = new ConfigObjects(mStore);
        long markedVersion = resultOf(mStore.read(ObjectKey.of(name))).get().version();
        String sha256 = name.substring(ConfigKeys.CHUNK_PREFIX.length());
        String text = resultOf(objects.chunk(sha256)).get();
        assertThat(resultOf(objects.writeChunk(sha256, text)).isRight()).isTrue();
        assertThat(resultOf(mStore.delete(ObjectKey.of(name), markedVersion)).isLeft()).isTrue();
    }

    private long largestValueBytes() {
        return mStore.backup().objects().stream()
                .mapToLong(object -> object.value().getBytes(StandardCharsets.UTF_8).length)
                .max()
                .orElse(0);
    }

    /** Returns settings with many accounts, one of which has the given burst. */
    private static String manyAccounts(String burst) {
        String accounts =
                IntStream.range(0, ACCOUNTS)
                        .mapToObj(number -> account(number, number == 0 ? burst : "20"))
                        .collect(Collectors.joining(","));
        return Site.SETTINGS.replace("\"accounts\": {", "\"accounts\": {" + accounts + ",");
    }

    private static String account(int number, String burst) {
        return "\"account-%d\": {\"keySha256\": \"%s\", \"burst\": %s}"
                .formatted(number, Sha256.of("key-" + number), burst);
    }

    private static ClientAccount account(Configuration configuration) {
        return Objects.requireNonNull(configuration.settings().accounts().get("acme"));
    }

    private Either<ConfigFailure, Long> apply(String nonce, String settings) {
        return resultOf(apply(mConfigStore, nonce, settings));
    }

    private AtomicReference<Either<ConfigFailure, Long>> startApply(String nonce, String settings) {
        AtomicReference<Either<ConfigFailure, Long>> result = new AtomicReference<>();
        apply(mConfigStore, nonce, settings).thenAccept(result::set);
        return result;
    }

    private static CompletionStage<Either<ConfigFailure, Long>> apply(
            ConfigStore configs, String nonce, String settings) {
        return configs.apply(text(settings), Map.of(), nonce);
    }

    private static SettingsText text(String settings) {
        return new SettingsText("base.json", settings);
    }

    private <T> T resultOf(CompletionStage<T> stage) {
        mTimers.runDue();
        AtomicReference<T> result = new AtomicReference<>();
        stage.thenAccept(result::set);
        return Objects.requireNonNull(result.get());
    }

    /** Returns a store that loses the answer to the first update, and then makes another change. */
    private ObjectStore withLostFirstAnswer(Runnable concurrentChange) {
        AtomicBoolean answerLost = new AtomicBoolean();
        return (ObjectStore)
                Proxy.newProxyInstance(
                        ObjectStore.class.getClassLoader(),
                        new Class<?>[] {ObjectStore.class},
                        (proxy, method, arguments) -> {
                            Object result = method.invoke(mStore, arguments);
                            if (!method.getName().equals("update") || answerLost.getAndSet(true)) {
                                return result;
                            }
                            mTimers.runDue();
                            concurrentChange.run();
                            mTimers.runDue();
                            return EitherStage.completed(
                                    Either.left(
                                            new PlatformFailure.AnswerLost(
                                                    PlatformFailure.Reason.CONNECTION_LOST)));
                        });
    }
}
