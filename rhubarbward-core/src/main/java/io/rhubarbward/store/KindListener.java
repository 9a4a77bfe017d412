package io.rhubarbward.store;

import java.util.List;

/**
 * Receives the objects of a watched kind and their changes.
 *
 * @param <T> the type of the decoded objects
 */
public interface KindListener<T> {
    /** Receives the complete list of objects; any object not in it no longer exists. */
    void onSnapshot(List<DecodedObject<T>> items);

    /** Receives an object that was created or changed. */
    void onItem(DecodedObject<T> item);

    /** Receives the name of an object that was deleted. */
    void onDeleted(String name);
}
