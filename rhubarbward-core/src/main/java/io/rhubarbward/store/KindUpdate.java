package io.rhubarbward.store;

import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * What a router has read from the store about one kind, in a form that it can send to its peers.
 *
 * @param kind the kind's name
 * @param since the store's revision that the receiver must know for the objects to complete its
 *     state, in the same era; {@link #SNAPSHOT} if the objects are the complete state
 * @param revision the store's revision that the receiver's state then matches
 * @param objects the complete state, or the objects changed and deleted since
 */
public record KindUpdate(
        String kind, StoreRevision since, StoreRevision revision, List<ObjectState> objects) {
    /** Stands for the revision before every object. */
    public static final StoreRevision SNAPSHOT = StoreRevision.NONE;

    public KindUpdate {
        if (!since.equals(SNAPSHOT) && !since.isInEraOf(revision)) {
            throw new IllegalArgumentException(
                    kind + " " + since + " to " + revision + ": expected changes of one era");
        }
        objects = List.copyOf(objects);
    }

    /** Returns whether the objects are the complete state. */
    public boolean snapshot() {
        return since.equals(SNAPSHOT);
    }

    static <T> KindUpdate snapshot(
            String kind, StoreRevision revision, List<DecodedObject<T>> items) {
        return new KindUpdate(
                kind, SNAPSHOT, revision, items.stream().map(ObjectState::present).toList());
    }

    static <T> KindUpdate changes(
            String kind,
            StoreRevision since,
            StoreRevision revision,
            List<ObjectChanges.Change<T>> changes) {
        return new KindUpdate(
                kind,
                since,
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
     * @param revision the store's revision at the object's last change; none if it is deleted
     * @param content returns the object's text; null if it is deleted
     */
    public record ObjectState(
            String name, StoreRevision revision, @Nullable Supplier<String> content) {
        static ObjectState present(DecodedObject<?> object) {
            return new ObjectState(object.name(), object.revision(), object.text());
        }

        /** Returns the state of a deleted object. */
        public static ObjectState deleted(String name) {
            return new ObjectState(name, StoreRevision.NONE, null);
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
