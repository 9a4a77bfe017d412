package io.rhubarbward.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants units locally while this router cannot reach a limit's custodian.
 *
 * <p>The custodian of a concurrency limit withholds a reserve of whole units. Each reserve unit
 * belongs to one router, in rendezvous order, so that routers that agree on who is live use no more
 * than the reserve together. Of a rate limit, each router may use an equal part.
 */
final class FallbackQuota {
    private final QuotaContext mContext;
    private final Map<QuotaKey, TokenBucket> mBuckets = new HashMap<>();

    FallbackQuota(QuotaContext context) {
        mContext = context;
    }

    /** Acquires a unit if this router has one left; returns whether it did. */
    boolean tryAcquire(KeyHolding holding) {
        QuotaCapacity capacity = mContext.capacities().apply(holding.key());
        if (capacity.limitsRate()) {
            return trySpend(holding.key(), capacity);
        }
        boolean ownsReserveUnit =
                mContext.membership()
                        .siteOwners("reserve/" + holding.text(), mContext.reserve(capacity))
                        .contains(mContext.ownVm());
        if (!ownsReserveUnit || holding.fallbackHeld() > 0) {
            return false;
        }
        holding.addFallbackHeld(1);
        return true;
    }

    void release(KeyHolding holding) {
        if (holding.fallbackHeld() > 0) {
            holding.addFallbackHeld(-1);
        }
    }

    private boolean trySpend(QuotaKey key, QuotaCapacity capacity) {
        QuotaCapacity part = equalPart(capacity);
        long nowMillis = mContext.nowMillis();
        TokenBucket bucket =
                mBuckets.computeIfAbsent(key, unused -> new TokenBucket(part.burst(), nowMillis));
        return bucket.spend(1, part.perSecond(), part.burst(), nowMillis) > 0;
    }

    private QuotaCapacity equalPart(QuotaCapacity capacity) {
        int routerCount = mContext.membership().runningPeers().size() + 1;
        return QuotaCapacity.rate(
                capacity.perSecond() / routerCount, Math.max(1, capacity.burst() / routerCount));
    }

    /** Removes buckets that are full again, since a new bucket would be equal to them. */
    void removeFullBuckets() {
        mBuckets.entrySet().removeIf(entry -> isFull(entry.getKey(), entry.getValue()));
    }

    private boolean isFull(QuotaKey key, TokenBucket bucket) {
        QuotaCapacity capacity = mContext.capacities().apply(key);
        QuotaCapacity part = equalPart(capacity);
        return !capacity.limitsRate()
                || bucket.isFull(part.perSecond(), part.burst(), mContext.nowMillis());
    }
}
