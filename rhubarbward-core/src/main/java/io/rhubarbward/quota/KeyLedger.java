package io.rhubarbward.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * What a custodian knows of one limit on concurrency: who has how many units out.
 *
 * <p>It starts out learning: until every router that may be running has reported, or a lease has
 * passed, nothing is granted.
 */
final class KeyLedger {
    private static final int STATEMENT_LEASES = 5;

    private final Map<String, Holding> mHoldings = new HashMap<>();
    private final long mQueryNumber;
    private final Set<String> mUnreported;
    private final long mLearnedByMillis;
    private final List<DeferredClaim> mDeferred = new ArrayList<>();
    private boolean mAnnounced;

    KeyLedger(long queryNumber, Collection<String> holders, long learnedByMillis) {
        mQueryNumber = queryNumber;
        mUnreported = new TreeSet<>(holders);
        mLearnedByMillis = learnedByMillis;
    }

    boolean learned(long nowMillis) {
        return mUnreported.isEmpty() || nowMillis >= mLearnedByMillis;
    }

    /** Returns true once, for the log. */
    boolean announce() {
        boolean first = !mAnnounced;
        mAnnounced = true;
        return first;
    }

    int missing() {
        return mUnreported.size();
    }

    /** Stops to wait for reports from any but the given routers. */
    void expectOnly(Collection<String> running) {
        mUnreported.retainAll(running);
    }

    /** Notes that a holder answers the query. */
    void reported(String holder, long queryNumber) {
        if (queryNumber >= mQueryNumber) {
            mUnreported.remove(holder);
        }
    }

    /** Takes a holder's own word for what it has in use. */
    void state(String holder, int units, long nowMillis) {
        mDeferred.removeIf(deferred -> deferred.holder().equals(holder));
        if (units == 0) {
            mHoldings.remove(holder);
        } else {
            mHoldings.put(holder, new Holding(units, nowMillis));
        }
    }

    void add(String holder, int units, long nowMillis) {
        mHoldings.merge(
                holder,
                new Holding(units, nowMillis),
                (old, added) -> new Holding(old.units() + units, nowMillis));
    }

    void forget(String holder) {
        mHoldings.remove(holder);
        mDeferred.removeIf(deferred -> deferred.holder().equals(holder));
    }

    /** Returns the units in force: those of holders heard within the lease. */
    int inForce(ToLongFunction<String> lastHeardMillis, long leaseMillis, long nowMillis) {
        mHoldings
                .values()
                .removeIf(h -> nowMillis - h.statedMillis() > leaseMillis * STATEMENT_LEASES);
        return mHoldings.entrySet().stream()
                .filter(
                        entry ->
                                lastHeardMillis.applyAsLong(entry.getKey()) + leaseMillis
                                        > nowMillis)
                .mapToInt(entry -> entry.getValue().units())
                .sum();
    }

    void defer(DeferredClaim claim) {
        mDeferred.add(claim);
    }

    /** Returns and clears the claims that waited for the end of learning. */
    List<DeferredClaim> takeDeferred() {
        List<DeferredClaim> deferred = List.copyOf(mDeferred);
        mDeferred.clear();
        return deferred;
    }

    Map<String, Integer> units() {
        Map<String, Integer> units = new HashMap<>();
        mHoldings.forEach((holder, holding) -> units.put(holder, holding.units()));
        return units;
    }

    /**
     * Units of one holder.
     *
     * @param units how many
     * @param statedMillis when the holder last spoke of them
     */
    private record Holding(int units, long statedMillis) {}

    /**
     * A claim that waits for the end of learning.
     *
     * @param holder who asked
     * @param sequence its ask
     * @param wanted units wanted
     * @param atMillis when it came
     */
    record DeferredClaim(String holder, long sequence, int wanted, long atMillis) {}
}
