package io.rhubarbward.store;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param changes what happened since, in order; empty when the wait ran out
 * @param revision the revision from which the next watch goes on
 * @param gap whether the store no longer has the history asked for, so that the kind must be listed
 * @param <T> what an object says
 */
public record ObjectChanges<T>(List<Change<T>> changes, long revision, boolean gap) {
    public ObjectChanges {
        changes = List.copyOf(changes);
    }

    /** Returns the answer of a store that has dropped the history. */
    public static <T> ObjectChanges<T> historyLost() {
        return new ObjectChanges<>(List.of(), 0, true);
    }

    /**
     * One change.
     *
     * @param item the object as it is now, or as it last was
     * @param deleted whether it is gone
     * @param <T> what an object says
     */
    public record Change<T>(DecodedObject<T> item, boolean deleted) {}
}
