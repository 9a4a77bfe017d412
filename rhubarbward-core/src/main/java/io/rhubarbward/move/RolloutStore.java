package io.rhubarbward.move;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Stores rollouts as objects of the platform; each change is one conditional write.
 *
 * <pre>{@code
 * store.start(Rollout.planned("assistant-2", plan, nonce));
 * }</pre>
 *
 * <p>If the answer to a write is lost, the object is read back, and its nonce shows whether the
 * write took effect.
 */
public final class RolloutStore {
    static final String KEY_PREFIX = "moves/";

    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final ObjectStore mStore;

    /** Keeps the rollouts in the given store. */
    public RolloutStore(ObjectStore store) {
        mStore = store;
    }

    /**
     * Creates the rollout unless the service has an active one.
     *
     * <p>The check is repeated after the creation, and the new rollout is withdrawn if it finds
     * another one then: of two concurrent starts at most one succeeds.
     */
    public CompletionStage<Either<RolloutFailure, StoredRollout>> start(Rollout planned) {
        return EitherStage.flatMap(
                checkNoActiveRollout(planned),
                checked ->
                        EitherStage.flatMap(
                                create(planned), created -> recheck(created, planned.nonce())));
    }

    private CompletionStage<Either<RolloutFailure, Boolean>> checkNoActiveRollout(Rollout planned) {
        return EitherStage.flatMap(
                list(),
                all ->
                        all.stream()
                                .map(StoredRollout::rollout)
                                .filter(other -> blocks(other, planned))
                                .findFirst()
                                .map(RolloutStore::serviceBusy)
                                .orElseGet(() -> EitherStage.completed(Either.right(true))));
    }

    private CompletionStage<Either<RolloutFailure, StoredRollout>> recheck(
            StoredRollout created, String nonce) {
        Rollout rollout = created.rollout();
        return checkNoActiveRollout(rollout)
                .thenCompose(
                        checked ->
                                checked.isRight()
                                        ? EitherStage.completed(Either.right(created))
                                        : undo(
                                                        rollout.name(),
                                                        nonce + "-withdrawn",
                                                        rollout.plan().plannedMillis())
                                                .thenApply(
                                                        undone -> Either.left(checked.getLeft())));
    }

    private static boolean blocks(Rollout other, Rollout planned) {
        return other.plan().service().equals(planned.plan().service())
                && !other.state().terminal()
                && !other.name().equals(planned.name());
    }

    private static CompletionStage<Either<RolloutFailure, Boolean>> serviceBusy(Rollout other) {
        return EitherStage.completed(
                Either.left(new RolloutFailure.ServiceBusy(other.plan().service(), other.name())));
    }

    private CompletionStage<Either<RolloutFailure, StoredRollout>> create(Rollout planned) {
        return resolveWrite(mStore.create(key(planned.name()), toJson(planned)), planned);
    }

    /** Replaces the stored rollout if its object still has the expected version. */
    public CompletionStage<Either<RolloutFailure, StoredRollout>> update(
            Rollout changed, long expectedVersion) {
        return resolveWrite(
                mStore.update(key(changed.name()), toJson(changed), expectedVersion), changed);
    }

    /** Rolls the rollout back at an operator's request. */
    public CompletionStage<Either<RolloutFailure, StoredRollout>> undo(
            String name, String nonce, long nowMillis) {
        return EitherStage.flatMap(
                read(name),
                stored -> {
                    Rollout rollout = stored.rollout();
                    if (rollout.state().terminal()) {
                        return EitherStage.completed(
                                Either.left(new RolloutFailure.Over(name, rollout.state())));
                    }
                    return update(
                            rollout.takenBack(RolloutReason.OPERATOR, "", nowMillis)
                                    .withWriter(0, nonce),
                            stored.version());
                });
    }

    /** Reads the rollout. */
    public CompletionStage<Either<RolloutFailure, StoredRollout>> read(String name) {
        return mStore.read(key(name))
                .thenApply(
                        read ->
                                read.<RolloutFailure>mapLeft(RolloutFailure.Platform::new)
                                        .flatMap(RolloutStore::parse));
    }

    /** Reads all rollouts, by name; skips those that are corrupt or deleted in the meantime. */
    public CompletionStage<Either<RolloutFailure, List<StoredRollout>>> list() {
        List<StoredRollout> found = new ArrayList<>();
        return EitherStage.flatMap(
                mStore.list(KEY_PREFIX)
                        .thenApply(
                                listed ->
                                        listed.<RolloutFailure>mapLeft(
                                                RolloutFailure.Platform::new)),
                keys ->
                        EitherStage.forEach(keys, listed -> readInto(name(listed.key()), found))
                                .thenApply(done -> done.map(all -> found)));
    }

    /** Adds the rollout to the list; a corrupt record is skipped so that it hides no other. */
    private CompletionStage<Either<RolloutFailure, Boolean>> readInto(
            String name, List<StoredRollout> found) {
        return read(name)
                .thenApply(
                        read ->
                                read.map(found::add)
                                        .orElse(
                                                () ->
                                                        isSkippable(read.getLeft())
                                                                ? Either.right(false)
                                                                : Either.left(read.getLeft())));
    }

    private static boolean isSkippable(RolloutFailure failure) {
        return failure instanceof RolloutFailure.Corrupt
                || (failure instanceof RolloutFailure.Platform platform
                        && platform.cause() instanceof PlatformFailure.NotFound);
    }

    private CompletionStage<Either<RolloutFailure, StoredRollout>> resolveWrite(
            CompletionStage<Either<PlatformFailure, StoredObject>> write, Rollout written) {
        return write.thenCompose(
                result -> {
                    if (result.isRight()) {
                        long version = result.get().version();
                        return EitherStage.completed(
                                Either.right(new StoredRollout(written, version)));
                    }
                    PlatformFailure failure = result.getLeft();
                    boolean outcomeUnclear =
                            failure instanceof PlatformFailure.AnswerLost
                                    || failure instanceof PlatformFailure.Conflict;
                    return outcomeUnclear
                            ? readBack(written)
                            : EitherStage.completed(
                                    Either.left(new RolloutFailure.Platform(failure)));
                });
    }

    private CompletionStage<Either<RolloutFailure, StoredRollout>> readBack(Rollout written) {
        return read(written.name())
                .thenApply(
                        read ->
                                read.flatMap(
                                        stored ->
                                                stored.rollout().nonce().equals(written.nonce())
                                                        ? Either.right(stored)
                                                        : Either.left(
                                                                changedMeanwhile(
                                                                        stored.rollout()))));
    }

    private static RolloutFailure changedMeanwhile(Rollout found) {
        return new RolloutFailure.ChangedMeanwhile(found.name(), found.state());
    }

    static Either<RolloutFailure, StoredRollout> parse(StoredObject object) {
        try {
            return Either.right(
                    new StoredRollout(
                            MAPPER.readValue(object.value(), Rollout.class), object.version()));
        } catch (JsonProcessingException e) {
            return Either.left(
                    new RolloutFailure.Corrupt(object.key() + ": " + e.getOriginalMessage()));
        }
    }

    private static String toJson(Rollout rollout) {
        try {
            return MAPPER.writeValueAsString(rollout);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a rollout could not be written as JSON", e);
        }
    }

    private static ObjectKey key(String name) {
        return ObjectKey.of(KEY_PREFIX + name);
    }

    private static String name(ObjectKey key) {
        return key.path().substring(KEY_PREFIX.length());
    }
}
