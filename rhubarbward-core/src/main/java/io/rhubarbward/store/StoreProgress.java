package io.rhubarbward.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Has open watches checked once another call shows that the store has changed.
 *
 * <p>A connection may go silent without a reset; a watch on it looks like one without changes. The
 * revision in the answers to other calls tells that there are changes which may be the watch's.
 *
 * <p>An answer has at most one watch checked, right away, while its connection is the one that the
 * pool hands out next and is known to work. The answer to the check has the next watch checked.
 */
public final class StoreProgress {
    private final List<Watcher> mWatchers = new ArrayList<>();

    /** A watch of one kind. */
    @FunctionalInterface
    interface Watcher {
        /**
         * Checks the watch if it has not returned the changes up to the revision and a check is
         * due; returns whether a call was sent.
         */
        boolean checkIfBehind(StoreRevision reached);
    }

    void subscribe(Watcher watcher) {
        mWatchers.add(watcher);
    }

    /** Notes that an answer of the store states the revision. */
    void observe(StoreRevision reached) {
        for (Watcher watcher : mWatchers) {
            if (watcher.checkIfBehind(reached)) {
                return;
            }
        }
    }
}
