package io.rhubarbward.config;

import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads and writes the stored objects of the configuration and its status. */
final class ConfigObjects {
    private static final int MAX_CHUNK_ATTEMPTS = 3;

    private final ObjectStore mStore;

    ConfigObjects(ObjectStore store) {
        mStore = store;
    }

    ObjectStore store() {
        return mStore;
    }

    /** Reads the head; empty if no configuration was accepted yet. */
    CompletionStage<Either<ConfigFailure, Optional<StoredHead>>> head() {
        return mStore.read(ConfigKeys.HEAD).thenApply(ConfigObjects::parse);
    }

    private static Either<ConfigFailure, Optional<StoredHead>> parse(
            Either<PlatformFailure, StoredObject> read) {
        if (read.isRight()) {
            StoredObject object = read.get();
            return ConfigHead.parse(object.value())
                    .map(head -> Optional.of(new StoredHead(head, object.version())));
        }
        return read.getLeft() instanceof PlatformFailure.NotFound
                ? Either.right(Optional.empty())
                : Either.left(new ConfigFailure.Platform(read.getLeft()));
    }

    /** Reads the head; fails if no configuration was accepted yet. */
    CompletionStage<Either<ConfigFailure, StoredHead>> acceptedHead() {
        return head().thenApply(
                        read ->
                                read.flatMap(
                                        head ->
                                                head.<Either<ConfigFailure, StoredHead>>map(
                                                                Either::right)
                                                        .orElseGet(
                                                                ConfigObjects::nothingAccepted)));
    }

    private static Either<ConfigFailure, StoredHead> nothingAccepted() {
        return Either.left(new ConfigFailure.NothingAccepted());
    }

    /** Reads the chunks and checks that each has the SHA-256 that it is named by. */
    CompletionStage<Either<ConfigFailure, Map<String, String>>> chunks(Collection<String> names) {
        Map<String, String> texts = new HashMap<>();
        return EitherStage.flatMap(
                EitherStage.forEach(List.copyOf(names), name -> readChunk(name, texts)),
                done -> EitherStage.completed(Either.right(texts)));
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> readChunk(
            String name, Map<String, String> texts) {
        return chunk(name)
                .thenApply(
                        read ->
                                read.map(
                                        text -> {
                                            texts.put(name, text);
                                            return true;
                                        }));
    }

    /** Reads one chunk and checks that it has the SHA-256 that it is named by. */
    CompletionStage<Either<ConfigFailure, String>> chunk(String name) {
        return mStore.read(ConfigKeys.chunk(name))
                .thenApply(
                        read ->
                                read.<ConfigFailure>mapLeft(ConfigFailure.Platform::new)
                                        .map(StoredObject::value)
                                        .flatMap(text -> verify(name, text)));
    }

    private static Either<ConfigFailure, String> verify(String name, String text) {
        return Sha256.of(text).equals(name)
                ? Either.right(text)
                : Either.left(new ConfigFailure.Corrupt("chunk " + name + " has other content"));
    }

    /** Writes a chunk. A retry is safe, since the name depends on the content only. */
    CompletionStage<Either<ConfigFailure, Boolean>> writeChunk(String name, String text) {
        return writeChunk(name, text, MAX_CHUNK_ATTEMPTS);
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> writeChunk(
            String name, String text, int attemptsLeft) {
        return mStore.create(ConfigKeys.chunk(name), text)
                .thenCompose(
                        written -> {
                            if (written.isRight()) {
                                return EitherStage.completed(Either.right(true));
                            }
                            PlatformFailure failure = written.getLeft();
                            if (failure instanceof PlatformFailure.Conflict) {
                                return rewrite(name, text, attemptsLeft);
                            }
                            boolean retry =
                                    failure instanceof PlatformFailure.AnswerLost
                                            && attemptsLeft > 1;
                            return retry
                                    ? writeChunk(name, text, attemptsLeft - 1)
                                    : failed(failure);
                        });
    }

    /**
     * Rewrites an existing chunk, since it may be marked as garbage: its version changes, and the
     * garbage collector's conditional delete fails.
     */
    private CompletionStage<Either<ConfigFailure, Boolean>> rewrite(
            String name, String text, int attemptsLeft) {
        return mStore.read(ConfigKeys.chunk(name))
                .thenCompose(
                        read ->
                                read.isLeft()
                                        ? failed(read.getLeft())
                                        : mStore.update(
                                                        ConfigKeys.chunk(name),
                                                        text,
                                                        read.get().version())
                                                .thenCompose(
                                                        written ->
                                                                onRewritten(
                                                                        written,
                                                                        name,
                                                                        text,
                                                                        attemptsLeft)));
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> onRewritten(
            Either<PlatformFailure, StoredObject> written,
            String name,
            String text,
            int attemptsLeft) {
        if (written.isRight()) {
            return EitherStage.completed(Either.right(true));
        }
        return attemptsLeft > 1 && !(written.getLeft() instanceof PlatformFailure.Unavailable)
                ? writeChunk(name, text, attemptsLeft - 1)
                : failed(written.getLeft());
    }

    /** Reads the status of each data centre, by the data centre's name. */
    CompletionStage<Either<ConfigFailure, Map<String, DataCentreStatus>>> statuses() {
        Map<String, DataCentreStatus> statuses = new java.util.TreeMap<>();
        return EitherStage.flatMap(
                mStore.list(ConfigKeys.STATUS_PREFIX)
                        .thenApply(
                                listed ->
                                        listed.<ConfigFailure>mapLeft(ConfigFailure.Platform::new)),
                listed ->
                        EitherStage.flatMap(
                                EitherStage.forEach(listed, item -> readStatus(item, statuses)),
                                done -> EitherStage.completed(Either.right(statuses))));
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> readStatus(
            ObjectStore.Listed item, Map<String, DataCentreStatus> statuses) {
        return mStore.read(item.key())
                .thenApply(
                        read -> {
                            if (read.isLeft()) {
                                return read.getLeft() instanceof PlatformFailure.NotFound
                                        ? Either.right(false)
                                        : Either.left(new ConfigFailure.Platform(read.getLeft()));
                            }
                            return DataCentreStatus.parse(read.get().value())
                                    .map(
                                            status -> {
                                                statuses.put(status.dataCentre(), status);
                                                return true;
                                            });
                        });
    }

    static <T> CompletionStage<Either<ConfigFailure, T>> failed(PlatformFailure failure) {
        return EitherStage.completed(Either.left(new ConfigFailure.Platform(failure)));
    }
}
