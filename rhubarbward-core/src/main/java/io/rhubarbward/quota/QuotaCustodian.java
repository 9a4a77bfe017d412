package io.rhubarbward.quota;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.quota.LeaseLedger.DeferredClaim;
import io.rhubarbward.quota.QuotaAnswer.Grant;
import io.rhubarbward.quota.QuotaAsk.Claim;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Grants units of the keys that this router is custodian of.
 *
 * <p>It grants a unit of a concurrency limit only while the units that it knows to be held stay
 * within the capacity less the reserve. Before it grants units of a key that is new to it, it
 * learns from all routers how many they hold.
 */
final class QuotaCustodian {
    private final QuotaContext mContext;
    private final QuotaMessageSender mSender;
    private final Map<String, LeaseLedger> mLedgers = new TreeMap<>();
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private final Map<String, Long> mNewestSequences = new HashMap<>();
    // Starts from the incarnation, so that it keeps increasing across restarts.
    private long mQueryNumber;

    QuotaCustodian(QuotaContext context, QuotaMessageSender sender, long incarnation) {
        mContext = context;
        mSender = sender;
        mQueryNumber = incarnation;
    }

    /** Applies a holder's ask; claims on keys still being learned are answered later. */
    void onAsk(String holder, QuotaAsk ask) {
        if (ask.sequence() <= mNewestSequences.getOrDefault(holder, Long.MIN_VALUE)) {
            return;
        }
        mNewestSequences.put(holder, ask.sequence());
        List<String> newKeys = new ArrayList<>();
        List<Grant> grants =
                ask.claims().stream()
                        .flatMap(claim -> onClaim(holder, ask, claim, newKeys).stream())
                        .toList();
        if (!grants.isEmpty()) {
            mSender.send(holder, new QuotaAnswer(ask.sequence(), grants));
        }
        queryHoldings(newKeys);
    }

    private Optional<Grant> onClaim(
            String holder, QuotaAsk ask, Claim claim, List<String> newKeys) {
        Optional<QuotaKey> key =
                QuotaKey.parse(claim.key()).filter(k -> mContext.isCustodianOf(claim.key()));
        if (key.isEmpty()) {
            return Optional.of(new Grant(claim.key(), 0, QuotaAnswer.NOT_CUSTODIAN))
                    .filter(refusal -> claim.wanted() > 0);
        }
        QuotaCapacity capacity = mContext.capacities().apply(key.get());
        if (capacity.limitsRate()) {
            return Optional.of(claim).filter(c -> c.wanted() > 0).map(c -> spend(c, capacity));
        }
        LeaseLedger ledger = mLedgers.get(claim.key());
        if (ledger == null) {
            ledger = newLedger();
            mLedgers.put(claim.key(), ledger);
            newKeys.add(claim.key());
        }
        ledger.setUnits(holder, claim.held(), mContext.nowMillis());
        ledger.onReport(holder, ask.answeredQuery());
        answerDeferred(claim.key(), ledger);
        if (claim.wanted() == 0) {
            return Optional.empty();
        }
        if (ledger.learned(mContext.nowMillis())) {
            return Optional.of(grant(claim.key(), ledger, holder, claim.wanted()));
        }
        ledger.defer(
                new DeferredClaim(holder, ask.sequence(), claim.wanted(), mContext.nowMillis()));
        return Optional.empty();
    }

    private Grant spend(Claim claim, QuotaCapacity capacity) {
        long nowMillis = mContext.nowMillis();
        TokenBucket bucket =
                mBuckets.computeIfAbsent(
                        claim.key(), key -> new TokenBucket(capacity.burst(), nowMillis));
        int spent = bucket.spend(claim.wanted(), capacity.perSecond(), capacity.burst(), nowMillis);
        return new Grant(claim.key(), spent, bucket.millisUntilNextToken(capacity.perSecond()));
    }

    private LeaseLedger newLedger() {
        return new LeaseLedger(
                mQueryNumber + 1, runningRouters(), mContext.nowMillis() + mContext.leaseMillis());
    }

    private List<String> runningRouters() {
        return Stream.concat(
                        mContext.membership().runningPeers().stream().map(Peer::vm),
                        Stream.of(mContext.ownVm()))
                .toList();
    }

    private void queryHoldings(List<String> keys) {
        if (keys.isEmpty()) {
            return;
        }
        HoldingsQuery query = new HoldingsQuery(++mQueryNumber, keys);
        mContext.membership().runningPeers().forEach(peer -> mSender.send(peer.vm(), query));
        mSender.send(mContext.ownVm(), query);
        mContext.timers()
                .after(Duration.ofMillis(mContext.leaseMillis()), () -> answerDeferred(keys));
        answerDeferred(keys);
    }

    private void answerDeferred(List<String> keys) {
        for (String key : keys) {
            LeaseLedger ledger = mLedgers.get(key);
            if (ledger != null) {
                answerDeferred(key, ledger);
            }
        }
    }

    /** Answers the key's deferred claims if learning has ended. */
    private void answerDeferred(String key, LeaseLedger ledger) {
        long nowMillis = mContext.nowMillis();
        if (!ledger.learned(nowMillis)) {
            return;
        }
        if (ledger.firstAnnouncement()) {
            mContext.events()
                    .log(
                            LogEvent.QUOTA_KEY_LEARNED,
                            EventField.of("key", key),
                            EventField.of("missing", ledger.unreportedCount()));
        }
        for (DeferredClaim claim : ledger.takeDeferred()) {
            if (nowMillis - claim.receivedMillis() <= QuotaContext.ASK_TIMEOUT_MILLIS) {
                Grant grant = grant(key, ledger, claim.holder(), claim.wanted());
                mSender.send(claim.holder(), new QuotaAnswer(claim.sequence(), List.of(grant)));
            }
        }
    }

    private Grant grant(String key, LeaseLedger ledger, String holder, int wanted) {
        long nowMillis = mContext.nowMillis();
        QuotaCapacity capacity =
                QuotaKey.parse(key).map(mContext.capacities()).orElse(QuotaCapacity.concurrency(0));
        int inForce =
                ledger.inForce(
                        mContext.membership()::lastKnownAliveMillis,
                        mContext.leaseMillis(),
                        nowMillis);
        int free = capacity.concurrency() - mContext.reserve(capacity) - inForce;
        int granted = Math.max(0, Math.min(free, wanted));
        if (granted > 0) {
            ledger.addUnits(holder, granted, nowMillis);
        }
        return new Grant(key, granted, QuotaContext.CONCURRENCY_RETRY_AFTER_MILLIS);
    }

    /** Drops keys that have another custodian now, and the units of routers that are gone. */
    void onMembersChanged() {
        mLedgers.keySet().removeIf(key -> !mContext.isCustodianOf(key));
        mBuckets.keySet().removeIf(key -> !mContext.isCustodianOf(key));
        mNewestSequences.keySet().removeIf(vm -> !isKnown(vm));
        List<String> running = runningRouters();
        mLedgers.forEach((key, ledger) -> removeAbsentHolders(key, ledger, running));
        answerDeferred(List.copyOf(mLedgers.keySet()));
    }

    private void removeAbsentHolders(String key, LeaseLedger ledger, List<String> running) {
        ledger.expectOnly(running);
        ledger.unitsByHolder()
                .forEach(
                        (holder, units) -> {
                            if (!running.contains(holder)) {
                                ledger.remove(holder);
                                mContext.events()
                                        .log(
                                                LogEvent.HOLDER_LEASES_LAPSED,
                                                EventField.of("holder", holder),
                                                EventField.of("key", key),
                                                EventField.of("units", units));
                            }
                        });
    }

    private boolean isKnown(String vm) {
        return vm.equals(mContext.ownVm()) || mContext.membership().peer(vm).isPresent();
    }

    /** Frees the units of a router that restarted. */
    void onRestarted(String holder) {
        mLedgers.values().forEach(ledger -> ledger.remove(holder));
    }

    /** Discards all ledgers: another custodian may have granted the units during the pause. */
    void onPauseDetected() {
        mLedgers.clear();
    }

    /** Removes buckets that are full again, since a new bucket would be equal to them. */
    void removeFullBuckets() {
        mBuckets.entrySet().removeIf(entry -> isFull(entry.getKey(), entry.getValue()));
    }

    private boolean isFull(String key, TokenBucket bucket) {
        QuotaCapacity capacity =
                QuotaKey.parse(key).map(mContext.capacities()).orElse(QuotaCapacity.concurrency(0));
        return !capacity.limitsRate()
                || bucket.isFull(capacity.perSecond(), capacity.burst(), mContext.nowMillis());
    }

    Map<String, Object> state() {
        Map<String, Object> keys = new TreeMap<>();
        mLedgers.forEach(
                (key, ledger) ->
                        keys.put(
                                key,
                                Map.of(
                                        "learned", ledger.learned(mContext.nowMillis()),
                                        "unreported", ledger.unreportedCount(),
                                        "units", ledger.unitsByHolder())));
        return Map.of("keys", keys, "rates", mBuckets.size());
    }
}
