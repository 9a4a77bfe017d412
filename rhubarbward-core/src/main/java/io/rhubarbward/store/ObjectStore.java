package io.rhubarbward.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object API: versioned objects, conditional writes and watches.
 *
 * <p>Every stage completes on the timer service's thread. A write whose answer was lost fails with
 * {@link PlatformFailure.AnswerLost}; the caller has to read the object to learn whether the write
 * took effect.
 */
public interface ObjectStore {
    /** Size of the largest value that the platform accepts, in bytes of UTF-8. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Reads the object; fails with {@link PlatformFailure.NotFound} if it does not exist. */
    CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key);

    /** Creates the object; fails with {@link PlatformFailure.Conflict} if it exists. */
    CompletionStage<Either<PlatformFailure, StoredObject>> create(ObjectKey key, String value);

    /**
     * Replaces the value if the object has the expected version; else fails with {@link
     * PlatformFailure.Conflict}.
     */
    CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion);

    /**
     * Deletes the object if it has the expected version; else fails with {@link
     * PlatformFailure.Conflict}.
     */
    CompletionStage<Either<PlatformFailure, ObjectKey>> delete(ObjectKey key, long expectedVersion);

    /** Lists the keys that start with the prefix and their versions, without the values. */
    CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix);

    /**
     * Waits for changes after the revision to keys that start with the prefix, and returns an empty
     * batch if none come within the wait. Counts as an open call while it waits.
     */
    CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait);

    /**
     * A key and its version.
     *
     * @param key the object's key
     * @param version the object's current version
     */
    record Listed(ObjectKey key, long version) {}
}
