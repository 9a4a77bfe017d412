package io.rhubarbward.store;

import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * What a router has read from the store about one kind, in a form that it can send to its peers.
 *
 * @param kind the kind's name
 * @param sinceRevision the store's revision that the receiver must know for the objects to complete
 *     its state; {@link #SNAPSHOT} if the objects are the complete state
 * @param revision the store's revision that the receiver's state then matches
 * @param objects the complete state, or the objects changed and deleted since
 */
public record KindUpdate(
        String kind, long sinceRevision, long revision, List<ObjectState> objects) {
    /** Stands for the revision before every object. */
    public static final long SNAPSHOT = -1;

    public KindUpdate {
        objects = List.copyOf(objects);
    }

    /** Returns whether the objects are the complete state. */
    public boolean snapshot() {
        return sinceRevision == SNAPSHOT;
    }

    static <T> KindUpdate snapshot(String kind, long revision, List<DecodedObject<T>> items) {
        return new KindUpdate(
                kind, SNAPSHOT, revision, items.stream().map(ObjectState::present).toList());
    }

    static <T> KindUpdate changes(
            String kind, long sinceRevision, long revision, List<ObjectChanges.Change<T>> changes) {
        return new KindUpdate(
                kind,
                sinceRevision,
                revision,
                changes.stream()
                        .map(
                                change ->
                                        change.deleted()
                                                ? ObjectState.deleted(change.item().name())
                                                : ObjectState.present(change.item()))
                        .toList());
    }

    /**
     * The state of one object.
     *
     * @param name the object's name
     * @param revision the store's revision at the object's last change; 0 if it is deleted
     * @param content returns the object's text; null if it is deleted
     */
    public record ObjectState(String name, long revision, @Nullable Supplier<String> content) {
        static ObjectState present(DecodedObject<?> object) {
            return new ObjectState(object.name(), object.revision(), object.text());
        }

        /** Returns the state of a deleted object. */
        public static ObjectState deleted(String name) {
            return new ObjectState(name, 0, null);
        }

        /** Returns whether the object is deleted. */
        public boolean deleted() {
            return content == null;
        }

        /**
         * Returns the object as the store sent it.
         *
         * @throws IllegalStateException if the object is deleted
         */
        public String text() {
            if (content == null) {
                throw new IllegalStateException(name + ": expected an object that exists");
            }
            return content.get();
        }
    }
}
