package io.rhubarbward.store;

import java.util.List;

/**
 * Told what a followed kind holds.
 *
 * @param <T> what an object says
 */
public interface KindListener<T> {
    /** All objects, as the store had them at one time; those not named are gone. */
    void onSnapshot(List<DecodedObject<T>> items);

    /** An object is there or has changed. */
    void onItem(DecodedObject<T> item);

    /** An object was deleted. */
    void onDeleted(String name);
}
