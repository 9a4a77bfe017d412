package io.rhubarbward.config;

import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/** Finds the settings that differ between two configurations; reads only the chunks that differ. */
final class ConfigDifference {
    private static final ConfigContent NO_CONTENT = new ConfigContent(Map.of(), Map.of(), Map.of());

    private final ConfigObjects mObjects;

    ConfigDifference(ConfigObjects objects) {
        mObjects = objects;
    }

    /** Returns the failure of a change that was made on one head while another one is stored. */
    CompletionStage<Either<ConfigFailure, Long>> changedMeanwhile(
            Optional<StoredHead> expectedHead, Optional<StoredHead> storedHead) {
        long expectedGeneration = expectedHead.map(stored -> stored.head().generation()).orElse(0L);
        Optional<ConfigContent> before = Optional.of(content(expectedHead));
        return toConflict(expectedGeneration, before, storedHead);
    }

    /**
     * Returns the failure of a change that was made on a generation that is no longer the newest.
     */
    CompletionStage<Either<ConfigFailure, Long>> changedSince(
            long expectedGeneration, Optional<StoredHead> storedHead) {
        Optional<ConfigContent> before =
                storedHead
                        .map(StoredHead::head)
                        .flatMap(head -> Optional.ofNullable(head.previous()))
                        .filter(previous -> previous.generation() == expectedGeneration)
                        .map(ConfigHead.Previous::content);
        return toConflict(expectedGeneration, before, storedHead);
    }

    private CompletionStage<Either<ConfigFailure, Long>> toConflict(
            long expectedGeneration,
            Optional<ConfigContent> before,
            Optional<StoredHead> storedHead) {
        long actualGeneration = storedHead.map(stored -> stored.head().generation()).orElse(0L);
        return before.map(content -> between(content, content(storedHead)))
                .orElseGet(() -> EitherStage.completed(Either.right(List.of())))
                .thenApply(
                        differences ->
                                // The conflict is reported even if its chunks cannot be read.
                                Either.left(
                                        new ConfigFailure.ChangedMeanwhile(
                                                expectedGeneration,
                                                actualGeneration,
                                                differences.getOrElse(List.of()))));
    }

    private static ConfigContent content(Optional<StoredHead> stored) {
        return stored.map(head -> head.head().content()).orElse(NO_CONTENT);
    }

    /** Returns the settings that differ between the two contents. */
    CompletionStage<Either<ConfigFailure, List<ChangedSetting>>> between(
            ConfigContent before, ConfigContent after) {
        Set<String> common = new HashSet<>(before.chunks());
        common.retainAll(after.chunks());
        Set<String> differing = new HashSet<>(before.chunks());
        differing.addAll(after.chunks());
        differing.removeAll(common);
        return mObjects.chunks(differing)
                .thenApply(read -> read.flatMap(texts -> between(before, after, texts)));
    }

    private static Either<ConfigFailure, List<ChangedSetting>> between(
            ConfigContent before, ConfigContent after, Map<String, String> texts) {
        return ConfigDocuments.join(before, texts)
                .flatMap(
                        first ->
                                ConfigDocuments.join(after, texts)
                                        .map(second -> ChangedSetting.between(first, second)));
    }
}
