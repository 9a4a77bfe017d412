package io.rhubarbward.config;

import io.rhubarbward.config.ConfigDocuments.Chunked;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/**
 * Accepts a change of the configuration: writes the new chunks, then replaces the head by
 * compare-and-set.
 *
 * <p>If the answer to the head's update is lost, the head is read back. It names this writer's
 * nonce (the change was accepted), is unchanged (the update had no effect and is sent again), or
 * was written by somebody else (a conflict).
 */
final class ConfigAcceptance {
    private static final int MAX_HEAD_ATTEMPTS = 3;

    private final ConfigObjects mObjects;
    private final ConfigDifference mDifference;
    private final ChunkGarbageCollector mGarbageCollector;

    ConfigAcceptance(ConfigObjects objects) {
        mObjects = objects;
        mDifference = new ConfigDifference(objects);
        mGarbageCollector = new ChunkGarbageCollector(objects);
    }

    /**
     * Accepts the chunks as the next generation.
     *
     * @param expectedHead the head to be replaced; empty if none was accepted yet
     * @param next the chunks of the new configuration
     * @param nonce a value that no other writer chooses
     */
    CompletionStage<Either<ConfigFailure, Long>> accept(
            Optional<StoredHead> expectedHead, Chunked next, String nonce) {
        Optional<ConfigFailure> tooLarge = tooLarge(next);
        if (tooLarge.isPresent()) {
            return EitherStage.completed(Either.left(tooLarge.get()));
        }
        Set<String> existing = new HashSet<>();
        expectedHead.ifPresent(stored -> existing.addAll(stored.head().content().chunks()));
        List<String> missing =
                next.texts().keySet().stream().filter(name -> !existing.contains(name)).toList();
        return EitherStage.flatMap(
                EitherStage.forEach(
                        missing,
                        name -> mObjects.writeChunk(name, next.texts().getOrDefault(name, ""))),
                written ->
                        EitherStage.flatMap(
                                nextGeneration(expectedHead),
                                generation ->
                                        update(
                                                new Attempt(
                                                        expectedHead,
                                                        head(expectedHead, generation, nonce, next),
                                                        false,
                                                        MAX_HEAD_ATTEMPTS))));
    }

    private static Optional<ConfigFailure> tooLarge(Chunked next) {
        return next.texts().values().stream()
                .map(text -> text.getBytes(StandardCharsets.UTF_8).length)
                .filter(bytes -> bytes > ObjectStore.MAX_VALUE_BYTES)
                .findFirst()
                .map(bytes -> new ConfigFailure.ChunkTooLarge(bytes, ObjectStore.MAX_VALUE_BYTES));
    }

    /**
     * Returns a generation above both the stored one and all that routers report: a store that was
     * restored from a backup may hold a lower generation than the routers.
     */
    private CompletionStage<Either<ConfigFailure, Long>> nextGeneration(
            Optional<StoredHead> expectedHead) {
        long stored = expectedHead.map(head -> head.head().generation()).orElse(0L);
        return EitherStage.flatMap(
                mObjects.statuses(),
                statuses -> {
                    long reported =
                            statuses.values().stream()
                                    .mapToLong(DataCentreStatus::highest)
                                    .max()
                                    .orElse(0);
                    return EitherStage.completed(Either.right(Math.max(stored, reported) + 1));
                });
    }

    private static ConfigHead head(
            Optional<StoredHead> expectedHead, long generation, String nonce, Chunked next) {
        return expectedHead
                .map(stored -> stored.head().next(generation, nonce, next.content()))
                .orElseGet(() -> ConfigHead.first(generation, nonce, next.content()));
    }

    private CompletionStage<Either<ConfigFailure, Long>> update(Attempt attempt) {
        CompletionStage<Either<PlatformFailure, StoredObject>> write =
                attempt.expectedHead()
                        .map(
                                stored ->
                                        mObjects.store()
                                                .update(
                                                        ConfigKeys.HEAD,
                                                        attempt.next().render(),
                                                        stored.version()))
                        .orElseGet(
                                () ->
                                        mObjects.store()
                                                .create(ConfigKeys.HEAD, attempt.next().render()));
        return write.thenCompose(
                written ->
                        written.isRight()
                                ? accepted(attempt.next())
                                : resolveFailure(attempt, written.getLeft()));
    }

    private CompletionStage<Either<ConfigFailure, Long>> accepted(ConfigHead head) {
        return mGarbageCollector
                .collect(head)
                .thenApply(collected -> Either.right(head.generation()));
    }

    private CompletionStage<Either<ConfigFailure, Long>> resolveFailure(
            Attempt attempt, PlatformFailure failure) {
        boolean answerLost = failure instanceof PlatformFailure.AnswerLost;
        boolean changed =
                failure instanceof PlatformFailure.Conflict
                        || failure instanceof PlatformFailure.NotFound;
        Attempt current = answerLost ? attempt.withAnswerLost() : attempt;
        return answerLost || changed
                ? readBack(current, failure)
                : EitherStage.completed(Either.left(current.toConfigFailure(failure)));
    }

    private CompletionStage<Either<ConfigFailure, Long>> readBack(
            Attempt attempt, PlatformFailure failure) {
        return mObjects.head()
                .thenCompose(
                        read -> {
                            if (read.isLeft()) {
                                return EitherStage.completed(
                                        Either.left(attempt.toConfigFailure(failure)));
                            }
                            return compareWithStored(attempt, read.get(), failure);
                        });
    }

    private CompletionStage<Either<ConfigFailure, Long>> compareWithStored(
            Attempt attempt, Optional<StoredHead> storedHead, PlatformFailure failure) {
        Optional<Long> ownGeneration =
                storedHead.flatMap(stored -> stored.head().acceptedAs(attempt.nonce()));
        if (ownGeneration.isPresent()) {
            return EitherStage.completed(Either.right(ownGeneration.get()));
        }
        if (!storedHead
                .map(StoredHead::version)
                .equals(attempt.expectedHead().map(StoredHead::version))) {
            return mDifference.changedMeanwhile(attempt.expectedHead(), storedHead);
        }
        return attempt.attemptsLeft() > 1
                ? update(attempt.nextAttempt())
                : EitherStage.completed(Either.left(attempt.toConfigFailure(failure)));
    }

    /**
     * One attempt to update the head.
     *
     * @param expectedHead the head to be replaced; empty to create the first
     * @param next the head to be written
     * @param answerLost whether the answer to this or an earlier attempt was lost
     * @param attemptsLeft how many attempts are left, this one included
     */
    private record Attempt(
            Optional<StoredHead> expectedHead,
            ConfigHead next,
            boolean answerLost,
            int attemptsLeft) {
        String nonce() {
            return next.accepted().get(0).nonce();
        }

        Attempt nextAttempt() {
            return new Attempt(expectedHead, next, answerLost, attemptsLeft - 1);
        }

        Attempt withAnswerLost() {
            return new Attempt(expectedHead, next, true, attemptsLeft);
        }

        /** An attempt whose answer was lost may still take effect while the head is unchanged. */
        ConfigFailure toConfigFailure(PlatformFailure failure) {
            return answerLost
                    ? new ConfigFailure.Unsettled(next.generation(), failure)
                    : new ConfigFailure.Platform(failure);
        }
    }
}
