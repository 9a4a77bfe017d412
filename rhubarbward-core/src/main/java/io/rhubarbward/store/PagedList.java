package io.rhubarbward.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the pages of one list of a kind, and the changes that came between them.
 *
 * <pre>{@code
 * boolean continued = list.add(page);
 * if (list.nextPage().isEmpty() && list.missesChanges()) {
 *     // watch from list.revision() and add what changed
 * }
 * }</pre>
 *
 * <p>Each page shows its objects at the time of its own answer. The whole matches the revision of
 * the first page until all changes up to that of the last one are added; in between it may hold
 * objects that are newer, or lack objects that were deleted since.
 *
 * @param <T> the type of the decoded objects
 */
final class PagedList<T> {
    private final Map<String, DecodedObject<T>> mItems = new LinkedHashMap<>();
    private final long mSentMillis;
    private StoreRevision mRevision = StoreRevision.NONE;
    private StoreRevision mLastPage = StoreRevision.NONE;
    private Optional<String> mNextPage = Optional.empty();

    /**
     * Creates an empty list.
     *
     * @param sentMillis when the first page was asked for
     */
    PagedList(long sentMillis) {
        mSentMillis = sentMillis;
    }

    /** Returns when the first page was asked for. */
    long sentMillis() {
        return mSentMillis;
    }

    /** Returns the name after which the next page starts; empty before the first and at the end. */
    Optional<String> nextPage() {
        return mNextPage;
    }

    /** Adds the page; returns whether it continues the ones before it, in their era. */
    boolean add(ObjectPage<T> page) {
        boolean first = mRevision.equals(StoreRevision.NONE);
        if (!first && !page.revision().isInEraOf(mRevision)) {
            return false;
        }
        mRevision = first ? page.revision() : mRevision;
        mLastPage = page.revision();
        boolean more = page.more() && !page.items().isEmpty();
        mNextPage =
                more
                        ? Optional.of(page.items().get(page.items().size() - 1).name())
                        : Optional.empty();
        page.items().forEach(item -> mItems.put(item.name(), item));
        return true;
    }

    /** Adds the changes since {@link #revision}; returns whether the store still has them. */
    boolean add(ObjectChanges<T> changes) {
        if (changes.gap() || !changes.revision().isInEraOf(mRevision)) {
            return false;
        }
        boolean complete = changes.changes().isEmpty() || !changes.revision().isAfter(mRevision);
        mRevision = StoreRevision.later(changes.revision(), complete ? mLastPage : mRevision);
        changes.changes().forEach(this::add);
        return true;
    }

    private void add(ObjectChanges.Change<T> change) {
        if (change.deleted()) {
            mItems.remove(change.item().name());
        } else {
            mItems.put(change.item().name(), change.item());
        }
    }

    /** Returns whether the store changed between the pages, and not all changes are added. */
    boolean missesChanges() {
        return mLastPage.isAfter(mRevision);
    }

    /** Returns the revision up to which the changes of all objects are in the list. */
    StoreRevision revision() {
        return mRevision;
    }

    List<DecodedObject<T>> items() {
        return List.copyOf(mItems.values());
    }
}
