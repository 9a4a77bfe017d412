package io.rhubarbward.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Units for a router that reaches no custodian.
 *
 * <p>Of a limit on concurrency, the custodian keeps a reserve of whole units back. Each belongs to
 * one router, by rendezvous order, so that all cut-off routers together take no more than the
 * reserve. Of a rate, each router may take an even part of its own.
 */
final class FallbackQuota {
    private final QuotaContext mContext;
    private final Map<QuotaKey, TokenBucket> mBuckets = new HashMap<>();

    FallbackQuota(QuotaContext context) {
        mContext = context;
    }

    /** Takes a unit if this router has one left. */
    boolean take(KeyHolding holding) {
        QuotaCapacity capacity = mContext.capacities().apply(holding.key());
        if (capacity.rate()) {
            return spend(holding.key(), capacity);
        }
        boolean seated =
                mContext.membership()
                        .siteOwners("reserve/" + holding.text(), mContext.reserve(capacity))
                        .contains(mContext.ownVm());
        if (!seated || holding.fallbackHeld() > 0) {
            return false;
        }
        holding.holdFallback(1);
        return true;
    }

    void giveBack(KeyHolding holding) {
        if (holding.fallbackHeld() > 0) {
            holding.holdFallback(-1);
        }
    }

    private boolean spend(QuotaKey key, QuotaCapacity capacity) {
        QuotaCapacity part = part(capacity);
        long now = mContext.now();
        TokenBucket bucket =
                mBuckets.computeIfAbsent(key, unused -> new TokenBucket(part.burst(), now));
        return bucket.spend(1, part.perSecond(), part.burst(), now) > 0;
    }

    private QuotaCapacity part(QuotaCapacity capacity) {
        int routers = mContext.membership().runningPeers().size() + 1;
        return QuotaCapacity.rate(
                capacity.perSecond() / routers, Math.max(1, capacity.burst() / routers));
    }

    /** Drops buckets that are as good as new ones. */
    void sweep() {
        mBuckets.entrySet().removeIf(entry -> full(entry.getKey(), entry.getValue()));
    }

    private boolean full(QuotaKey key, TokenBucket bucket) {
        QuotaCapacity capacity = mContext.capacities().apply(key);
        QuotaCapacity part = part(capacity);
        return !capacity.rate() || bucket.full(part.perSecond(), part.burst(), mContext.now());
    }
}
