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
 * A custodian's record of one concurrency limit: how many units each holder has.
 *
 * <p>A new ledger first learns what is held. Until every router that may be running has reported
 * its units, or a lease duration has passed, nothing is granted.
 */
final class LeaseLedger {
    /**
     * Holders repeat their reports; units not reported for this many lease durations are dropped.
     */
    private static final int MAX_REPORT_AGE_LEASES = 5;

    private final Map<String, Holding> mHoldings = new HashMap<>();
    private final long mQueryNumber;
    private final Set<String> mUnreported;
    private final long mLearnedByMillis;
    private final List<DeferredClaim> mDeferred = new ArrayList<>();
    private boolean mAnnounced;

    /**
     * Creates a ledger that learns what is held.
     *
     * @param queryNumber the number of the {@link HoldingsQuery} that routers are to answer
     * @param holders the routers that may be running
     * @param learnedByMillis when learning ends even if routers have not reported
     */
    LeaseLedger(long queryNumber, Collection<String> holders, long learnedByMillis) {
        mQueryNumber = queryNumber;
        mUnreported = new TreeSet<>(holders);
        mLearnedByMillis = learnedByMillis;
    }

    boolean learned(long nowMillis) {
        return mUnreported.isEmpty() || nowMillis >= mLearnedByMillis;
    }

    /** Returns true on the first call only, so that the end of learning is logged once. */
    boolean firstAnnouncement() {
        boolean first = !mAnnounced;
        mAnnounced = true;
        return first;
    }

    int unreportedCount() {
        return mUnreported.size();
    }

    /** Stops waiting for reports of routers other than the given ones. */
    void expectOnly(Collection<String> running) {
        mUnreported.retainAll(running);
    }

    /**
     * Records that a holder reported; it counts if it answers this ledger's query or a later one.
     */
    void onReport(String holder, long answeredQuery) {
        if (answeredQuery >= mQueryNumber) {
            mUnreported.remove(holder);
        }
    }

    /** Sets a holder's units to what it reported; discards its deferred claims. */
    void setUnits(String holder, int units, long nowMillis) {
        mDeferred.removeIf(deferred -> deferred.holder().equals(holder));
        if (units == 0) {
            mHoldings.remove(holder);
        } else {
            mHoldings.put(holder, new Holding(units, nowMillis));
        }
    }

    void addUnits(String holder, int units, long nowMillis) {
        mHoldings.merge(
                holder,
                new Holding(units, nowMillis),
                (old, added) -> new Holding(old.units() + units, nowMillis));
    }

    void remove(String holder) {
        mHoldings.remove(holder);
        mDeferred.removeIf(deferred -> deferred.holder().equals(holder));
    }

    /** Returns the units that count against the limit: those of holders heard within the lease. */
    int inForce(ToLongFunction<String> lastKnownAliveMillis, long leaseMillis, long nowMillis) {
        mHoldings
                .values()
                .removeIf(
                        holding ->
                                nowMillis - holding.updatedMillis()
                                        > leaseMillis * MAX_REPORT_AGE_LEASES);
        return mHoldings.entrySet().stream()
                .filter(
                        entry ->
                                lastKnownAliveMillis.applyAsLong(entry.getKey()) + leaseMillis
                                        > nowMillis)
                .mapToInt(entry -> entry.getValue().units())
                .sum();
    }

    void defer(DeferredClaim claim) {
        mDeferred.add(claim);
    }

    /** Removes and returns the claims that waited for the end of learning. */
    List<DeferredClaim> takeDeferred() {
        List<DeferredClaim> deferred = List.copyOf(mDeferred);
        mDeferred.clear();
        return deferred;
    }

    Map<String, Integer> unitsByHolder() {
        Map<String, Integer> units = new HashMap<>();
        mHoldings.forEach((holder, holding) -> units.put(holder, holding.units()));
        return units;
    }

    /**
     * The units of one holder.
     *
     * @param units the number of units
     * @param updatedMillis when the holder last reported its units or was granted some
     */
    private record Holding(int units, long updatedMillis) {}

    /**
     * A claim that waits for the end of learning.
     *
     * @param holder the VM of the router that asked
     * @param sequence the sequence number of its ask
     * @param wanted units requested
     * @param receivedMillis when the claim was received
     */
    record DeferredClaim(String holder, long sequence, int wanted, long receivedMillis) {}
}
