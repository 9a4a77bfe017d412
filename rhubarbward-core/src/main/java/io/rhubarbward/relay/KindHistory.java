package io.rhubarbward.relay;

import io.rhubarbward.store.KindUpdate;
import io.rhubarbward.store.KindUpdate.ObjectState;
import io.rhubarbward.store.StoreRevision;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The objects of one kind and the revision of each one's last change, from which peers catch up.
 */
final class KindHistory {
    /** Deletions kept; older ones are dropped, so that peers behind them get a snapshot. */
    private static final int MAX_DELETIONS = 1000;

    private final String mKind;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private StoreRevision mRevision = StoreRevision.NONE;

    /** The revision from which on all changes are known; empty before the first snapshot. */
    private Optional<StoreRevision> mFirstRevision = Optional.empty();

    KindHistory(String kind) {
        mKind = kind;
    }

    /**
     * An object's state.
     *
     * @param reachedRevision the store's revision at which the state was learned
     */
    private record Entry(ObjectState state, StoreRevision reachedRevision) {}

    void apply(KindUpdate update) {
        if (!update.revision().isInEraOf(mRevision)) {
            // No changes lead from one era to another, so that peers get a snapshot.
            mEntries.clear();
            mFirstRevision = Optional.empty();
        }
        mRevision = update.revision();
        if (update.snapshot()) {
            mFirstRevision = mFirstRevision.or(() -> Optional.of(update.revision()));
            deleteMissing(update);
        }
        update.objects().forEach(object -> put(object, update.revision()));
        dropOldDeletions();
    }

    private void deleteMissing(KindUpdate snapshot) {
        Set<String> missing = new HashSet<>(mEntries.keySet());
        snapshot.objects().forEach(object -> missing.remove(object.name()));
        missing.forEach(name -> put(ObjectState.deleted(name), snapshot.revision()));
    }

    private void put(ObjectState state, StoreRevision revision) {
        Entry known = mEntries.get(state.name());
        boolean unchanged =
                known != null
                        && known.state().deleted() == state.deleted()
                        && known.state().revision().equals(state.revision());
        if (!unchanged) {
            mEntries.put(state.name(), new Entry(withText(state), revision));
        }
    }

    /** Returns the state with its text, which takes less memory than what it is made from. */
    private static ObjectState withText(ObjectState state) {
        if (state.deleted()) {
            return state;
        }
        String text = state.text();
        return new ObjectState(state.name(), state.revision(), () -> text);
    }

    private void dropOldDeletions() {
        List<Entry> deletions =
                mEntries.values().stream().filter(entry -> entry.state().deleted()).toList();
        if (deletions.size() > MAX_DELETIONS) {
            mFirstRevision = Optional.of(mRevision);
            deletions.forEach(entry -> mEntries.remove(entry.state().name()));
        }
    }

    /** Returns what a peer whose state matches the revision lacks. */
    KindUpdate since(StoreRevision revision) {
        boolean snapshot =
                !revision.isInEraOf(mRevision)
                        || mFirstRevision.filter(first -> !first.isAfter(revision)).isEmpty();
        return new KindUpdate(
                mKind,
                snapshot ? KindUpdate.SNAPSHOT : revision,
                mRevision,
                mEntries.values().stream()
                        .filter(
                                entry ->
                                        snapshot
                                                ? !entry.state().deleted()
                                                : entry.reachedRevision().isAfter(revision))
                        .map(Entry::state)
                        .collect(Collectors.toList()));
    }
}
