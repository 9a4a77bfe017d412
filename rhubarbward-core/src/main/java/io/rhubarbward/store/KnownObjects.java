package io.rhubarbward.store;

import io.rhubarbward.timer.TimerService;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Applies lists and changes of one kind to a listener, and knows the names of its objects.
 *
 * <p>Objects that a restored store lacks are kept until those who wrote them had time to write them
 * again.
 *
 * @param <T> the type of the decoded objects
 */
final class KnownObjects<T> {
    private final KindListener<T> mListener;
    private final TimerService mTimers;

    /** Names of the objects that the listener has, those in {@link #mMissing} included. */
    private final Set<String> mNames = new HashSet<>();

    /** Names of known objects that the store has lacked since it was restored. */
    private final Set<String> mMissing = new HashSet<>();

    private int mRestores;

    KnownObjects(KindListener<T> listener, TimerService timers) {
        mListener = listener;
        mTimers = timers;
    }

    void apply(ObjectChanges.Change<T> change) {
        if (change.deleted()) {
            delete(change.item().name());
        } else {
            put(change.item());
        }
    }

    void put(DecodedObject<T> item) {
        mNames.add(item.name());
        mMissing.remove(item.name());
        mListener.onItem(item);
    }

    void delete(String name) {
        mNames.remove(name);
        mMissing.remove(name);
        mListener.onDeleted(name);
    }

    /** Applies a complete list. */
    void replace(List<DecodedObject<T>> items) {
        replace(items, names(items));
    }

    private static <T> Set<String> names(List<DecodedObject<T>> items) {
        return items.stream().map(DecodedObject::name).collect(Collectors.toSet());
    }

    private void replace(List<DecodedObject<T>> items, Set<String> listed) {
        mMissing.removeAll(listed);
        if (mMissing.isEmpty()) {
            mNames.clear();
            mNames.addAll(listed);
            mListener.onSnapshot(items);
        } else {
            mNames.stream()
                    .filter(name -> !listed.contains(name) && !mMissing.contains(name))
                    .toList()
                    .forEach(this::delete);
            items.forEach(this::put);
        }
    }

    /**
     * Applies a complete list of a store that was restored; returns the names of known objects that
     * it lacks, which are kept for the listener's rewrite time.
     */
    Set<String> replaceInNewEra(List<DecodedObject<T>> items) {
        Set<String> listed = names(items);
        mNames.stream().filter(name -> !listed.contains(name)).forEach(mMissing::add);
        replace(items, listed);
        Set<String> kept = Set.copyOf(mMissing);
        mListener.onRestored(kept);
        int restores = ++mRestores;
        mTimers.after(
                mListener.rewriteTime(),
                () -> {
                    if (restores == mRestores) {
                        List.copyOf(mMissing).forEach(this::delete);
                    }
                });
        return kept;
    }
}
