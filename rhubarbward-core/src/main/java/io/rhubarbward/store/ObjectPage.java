package io.rhubarbward.store;

import java.util.List;

/**
 * One page of the objects of a kind.
 *
 * @param items the objects, in order of name
 * @param more whether another page follows the last item
 * @param revision the store's revision at the time of the answer
 * @param <T> the type of the decoded objects
 */
public record ObjectPage<T>(List<DecodedObject<T>> items, boolean more, StoreRevision revision)
        implements StoreAnswer {
    public ObjectPage {
        items = List.copyOf(items);
    }
}
