package io.rhubarbward.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * Lists and watches the objects of one kind in the store and decodes them.
 *
 * <p>Every stage completes on the timer service's thread.
 *
 * @param <T> the type of the decoded objects
 */
public interface ObjectKind<T> {
    /** Returns the kind's name, for logs. */
    String name();

    /** Lists one page of objects, in order of name, that starts after the given name. */
    CompletionStage<Either<PlatformFailure, ObjectPage<T>>> list(Optional<String> afterName);

    /** Returns the changes after the revision, or no changes if none come within the wait. */
    CompletionStage<Either<PlatformFailure, ObjectChanges<T>>> watch(
            StoreRevision revision, Duration wait);

    /** Decodes an object from the text that {@link DecodedObject#text} returned at a peer. */
    DecodedObject<T> decode(String name, StoreRevision revision, String text);
}
