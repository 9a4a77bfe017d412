package io.rhubarbward.store;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Receives the objects of a watched kind and their changes.
 *
 * @param <T> the type of the decoded objects
 */
public interface KindListener<T> {
    /** Time in which what a restored store lacks is written again by those who wrote it before. */
    Duration REWRITE_TIME = Duration.ofSeconds(5);

    /** Receives the complete list of objects; any object not in it no longer exists. */
    void onSnapshot(List<DecodedObject<T>> items);

    /** Receives an object that was created or changed. */
    void onItem(DecodedObject<T> item);

    /** Receives the name of an object that was deleted. */
    void onDeleted(String name);

    /**
     * Is called once the objects of a restored store have been received.
     *
     * @param missing the names of known objects that the store lacks; each is received again, or as
     *     deleted after {@link #rewriteTime}
     */
    default void onRestored(Set<String> missing) {}

    /** Returns how long an object that a restored store lacks is kept. */
    default Duration rewriteTime() {
        return REWRITE_TIME;
    }

    /**
     * Returns whether the store holds what is in force here, so that its answer confirms it. A
     * restored store may hold an older state.
     */
    default boolean storeIsUpToDate() {
        return true;
    }
}
