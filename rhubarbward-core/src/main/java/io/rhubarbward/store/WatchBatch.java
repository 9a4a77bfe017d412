package io.rhubarbward.store;

import java.util.List;

/**
 * The answer to a watch: the changes after a revision.
 *
 * @param revision the store's revision up to which the batch is complete; the next watch continues
 *     after it
 * @param changes the objects created or updated, each with its newest value, in order of writing
 * @param deleted the keys of the deleted objects
 * @param gap whether earlier changes are missing, so that the objects must be listed and read again
 */
public record WatchBatch(
        long revision, List<StoredObject> changes, List<ObjectKey> deleted, boolean gap) {
    public WatchBatch {
        changes = List.copyOf(changes);
        deleted = List.copyOf(deleted);
    }
}
