package io.rhubarbward.store;

import java.util.List;

/**
 * The decoded answer to a watch.
 *
 * @param changes the changes since the watched revision, in order; empty if none came within the
 *     wait
 * @param revision the revision after which the next watch continues
 * @param gap whether the store no longer has the history since the watched revision, so that the
 *     kind must be listed again
 * @param <T> the type of the decoded objects
 */
public record ObjectChanges<T>(List<Change<T>> changes, StoreRevision revision, boolean gap)
        implements StoreAnswer {
    public ObjectChanges {
        changes = List.copyOf(changes);
    }

    /** Returns the answer of a store, in the era, that no longer has the history. */
    public static <T> ObjectChanges<T> historyLost(long era) {
        return new ObjectChanges<>(List.of(), new StoreRevision(era, 0), true);
    }

    /**
     * The creation, update or deletion of an object.
     *
     * @param item the object after the change, or before its deletion
     * @param deleted whether the object was deleted
     * @param <T> the type of the decoded objects
     */
    public record Change<T>(DecodedObject<T> item, boolean deleted) {}
}
