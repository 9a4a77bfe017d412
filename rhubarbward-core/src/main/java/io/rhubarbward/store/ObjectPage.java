package io.rhubarbward.store;

import java.util.List;

/**
 * A page of a list.
 *
 * @param items the objects, by name
 * @param more whether another page follows the last item
 * @param revision the store's revision when it answered
 * @param <T> what an object says
 */
public record ObjectPage<T>(List<DecodedObject<T>> items, boolean more, long revision) {
    public ObjectPage {
        items = List.copyOf(items);
    }
}
