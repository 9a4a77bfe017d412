package io.rhubarbward.quota;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.quota.KeyLedger.DeferredClaim;
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
 * Grants units of the keys that this router owns.
 *
 * <p>The sum that it has out never passes a key's capacity less the reserve, as far as it knows;
 * what it does not know yet, it learns before it grants.
 */
final class QuotaCustodian {
    private final QuotaContext mContext;
    private final QuotaPeers mPeers;
    private final Map<String, KeyLedger> mLedgers = new TreeMap<>();
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();
    private final Map<String, Long> mNewest = new HashMap<>();
    // Starts from the incarnation, so that it grows across restarts too.
    private long mQueryNumber;

    QuotaCustodian(QuotaContext context, QuotaPeers peers, long incarnation) {
        mContext = context;
        mPeers = peers;
        mQueryNumber = incarnation;
    }

    /** Takes a holder's ask and answers the claims that want units, some of them later. */
    void onAsk(String holder, QuotaAsk ask) {
        if (ask.sequence() <= mNewest.getOrDefault(holder, Long.MIN_VALUE)) {
            return;
        }
        mNewest.put(holder, ask.sequence());
        List<String> learning = new ArrayList<>();
        List<Grant> grants =
                ask.claims().stream()
                        .flatMap(claim -> onClaim(holder, ask, claim, learning).stream())
                        .toList();
        if (!grants.isEmpty()) {
            mPeers.send(holder, new QuotaAnswer(ask.sequence(), grants));
        }
        learn(learning);
    }

    private Optional<Grant> onClaim(
            String holder, QuotaAsk ask, Claim claim, List<String> learning) {
        Optional<QuotaKey> key =
                QuotaKey.parse(claim.key()).filter(k -> mContext.custodianOf(claim.key()));
        if (key.isEmpty()) {
            return Optional.of(new Grant(claim.key(), 0, QuotaAnswer.NOT_CUSTODIAN))
                    .filter(refusal -> claim.wanted() > 0);
        }
        QuotaCapacity capacity = mContext.capacities().apply(key.get());
        if (capacity.rate()) {
            return Optional.of(claim).filter(c -> c.wanted() > 0).map(c -> spend(c, capacity));
        }
        KeyLedger ledger = mLedgers.get(claim.key());
        if (ledger == null) {
            ledger = newLedger();
            mLedgers.put(claim.key(), ledger);
            learning.add(claim.key());
        }
        ledger.state(holder, claim.held(), mContext.now());
        ledger.reported(holder, ask.answeredQuery());
        settle(claim.key(), ledger);
        if (claim.wanted() == 0) {
            return Optional.empty();
        }
        if (ledger.learned(mContext.now())) {
            return Optional.of(grant(claim.key(), ledger, holder, claim.wanted()));
        }
        ledger.defer(new DeferredClaim(holder, ask.sequence(), claim.wanted(), mContext.now()));
        return Optional.empty();
    }

    private Grant spend(Claim claim, QuotaCapacity capacity) {
        long now = mContext.now();
        TokenBucket bucket =
                mBuckets.computeIfAbsent(
                        claim.key(), key -> new TokenBucket(capacity.burst(), now));
        int spent = bucket.spend(claim.wanted(), capacity.perSecond(), capacity.burst(), now);
        return new Grant(claim.key(), spent, bucket.millisToNext(capacity.perSecond()));
    }

    private KeyLedger newLedger() {
        return new KeyLedger(mQueryNumber + 1, running(), mContext.now() + mContext.leaseMillis());
    }

    private List<String> running() {
        return Stream.concat(
                        mContext.membership().runningPeers().stream().map(Peer::vm),
                        Stream.of(mContext.ownVm()))
                .toList();
    }

    private void learn(List<String> keys) {
        if (keys.isEmpty()) {
            return;
        }
        HoldingsQuery query = new HoldingsQuery(++mQueryNumber, keys);
        mContext.membership().runningPeers().forEach(peer -> mPeers.send(peer.vm(), query));
        mPeers.send(mContext.ownVm(), query);
        mContext.timers().after(Duration.ofMillis(mContext.leaseMillis()), () -> settle(keys));
        settle(keys);
    }

    private void settle(List<String> keys) {
        for (String key : keys) {
            KeyLedger ledger = mLedgers.get(key);
            if (ledger != null) {
                settle(key, ledger);
            }
        }
    }

    /** Answers the claims that wait, if all is known that is out. */
    private void settle(String key, KeyLedger ledger) {
        long now = mContext.now();
        if (!ledger.learned(now)) {
            return;
        }
        if (ledger.announce()) {
            mContext.events()
                    .log(
                            LogEvent.QUOTA_KEY_LEARNED,
                            EventField.of("key", key),
                            EventField.of("missing", ledger.missing()));
        }
        for (DeferredClaim claim : ledger.takeDeferred()) {
            if (now - claim.atMillis() <= QuotaContext.ASK_TIMEOUT_MILLIS) {
                Grant grant = grant(key, ledger, claim.holder(), claim.wanted());
                mPeers.send(claim.holder(), new QuotaAnswer(claim.sequence(), List.of(grant)));
            }
        }
    }

    private Grant grant(String key, KeyLedger ledger, String holder, int wanted) {
        long now = mContext.now();
        QuotaCapacity capacity =
                QuotaKey.parse(key).map(mContext.capacities()).orElse(QuotaCapacity.concurrency(0));
        int inForce =
                ledger.inForce(mContext.membership()::lastHeardMillis, mContext.leaseMillis(), now);
        int free = capacity.concurrency() - mContext.reserve(capacity) - inForce;
        int granted = Math.max(0, Math.min(free, wanted));
        if (granted > 0) {
            ledger.add(holder, granted, now);
        }
        return new Grant(key, granted, QuotaContext.CONCURRENCY_RETRY_MILLIS);
    }

    /** Drops what belongs to others now, and waits for nobody who is gone. */
    void onMembersChanged() {
        mLedgers.keySet().removeIf(key -> !mContext.custodianOf(key));
        mBuckets.keySet().removeIf(key -> !mContext.custodianOf(key));
        mNewest.keySet().removeIf(vm -> !known(vm));
        List<String> running = running();
        mLedgers.forEach((key, ledger) -> lapse(key, ledger, running));
        settle(List.copyOf(mLedgers.keySet()));
    }

    private void lapse(String key, KeyLedger ledger, List<String> running) {
        ledger.expectOnly(running);
        ledger.units()
                .forEach(
                        (holder, units) -> {
                            if (!running.contains(holder)) {
                                ledger.forget(holder);
                                mContext.events()
                                        .log(
                                                LogEvent.HOLDER_LEASES_LAPSED,
                                                EventField.of("holder", holder),
                                                EventField.of("key", key),
                                                EventField.of("units", units));
                            }
                        });
    }

    private boolean known(String vm) {
        return vm.equals(mContext.ownVm()) || mContext.membership().peer(vm).isPresent();
    }

    /** Frees what a router had that started anew. */
    void onRestarted(String holder) {
        mLedgers.values().forEach(ledger -> ledger.forget(holder));
    }

    /** Forgets what it granted, since others may have granted it since. */
    void onAwake() {
        mLedgers.clear();
    }

    /** Drops buckets that are as good as new ones. */
    void sweep() {
        mBuckets.entrySet().removeIf(entry -> full(entry.getKey(), entry.getValue()));
    }

    private boolean full(String key, TokenBucket bucket) {
        QuotaCapacity capacity =
                QuotaKey.parse(key).map(mContext.capacities()).orElse(QuotaCapacity.concurrency(0));
        return !capacity.rate()
                || bucket.full(capacity.perSecond(), capacity.burst(), mContext.now());
    }

    Map<String, Object> state() {
        Map<String, Object> keys = new TreeMap<>();
        mLedgers.forEach(
                (key, ledger) ->
                        keys.put(
                                key,
                                Map.of(
                                        "learned", ledger.learned(mContext.now()),
                                        "unreported", ledger.missing(),
                                        "units", ledger.units())));
        return Map.of("keys", keys, "rates", mBuckets.size());
    }
}
