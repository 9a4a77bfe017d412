package io.rhubarbward.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the pages of one list of a kind, and the changes that came between them.
 *
 * <pre>{@code
 * list.add(page);
 * if (list.missesChanges()) {
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

    /** Returns whether the page is of the era of those before it. */
    boolean isContinuedBy(ObjectPage<T> page) {
        return mRevision.equals(StoreRevision.NONE) || mRevision.isInEraOf(page.revision());
    }

    void add(ObjectPage<T> page) {
        if (mRevision.equals(StoreRevision.NONE)) {
            mRevision = page.revision();
        }
        mLastPage = page.revision();
        page.items().forEach(item -> mItems.put(item.name(), item));
    }

    /** Adds the changes since {@link #revision}. */
    void add(ObjectChanges<T> changes) {
        boolean complete = changes.changes().isEmpty() || !changes.revision().isAfter(mRevision);
        mRevision = StoreRevision.later(changes.revision(), complete ? mLastPage : mRevision);
        changes.changes().forEach(this::add);
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
