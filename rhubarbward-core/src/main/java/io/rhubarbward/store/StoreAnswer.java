package io.rhubarbward.store;

/** An answer of the store to a list or a watch. */
sealed interface StoreAnswer permits ObjectPage, ObjectChanges {
    /** Returns the store's revision at the time of the answer. */
    StoreRevision revision();
}
