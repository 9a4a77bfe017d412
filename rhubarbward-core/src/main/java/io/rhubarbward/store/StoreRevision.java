package io.rhubarbward.store;

import java.util.Comparator;

/**
 * A point in the history of the store.
 *
 * <pre>{@code
 * boolean newer = page.revision().isAfter(known);
 * }</pre>
 *
 * <p>A store that is restored from an older copy begins a new era and assigns the same numbers to
 * other changes. Points are therefore ordered by era and only then by number, and equal numbers of
 * two eras stand for different states.
 *
 * @param era how often the store was restored, as the store states it; 0 if it does not
 * @param number the store's revision within the era; above 0 but for {@link #NONE}
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Stands for the time before every state of the store. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    public StoreRevision {
        if (era < 0 || number < 0) {
            throw new IllegalArgumentException(
                    "era=" + era + " number=" + number + ": expected none below 0");
        }
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this point is later than the other. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns whether both points are in one era, so that changes lead from one to the other. */
    public boolean isInEraOf(StoreRevision other) {
        return era == other.era;
    }

    /** Returns the later of both points. */
    static StoreRevision later(StoreRevision first, StoreRevision second) {
        return first.isAfter(second) ? first : second;
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
