package io.rhubarbward.quota;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.quota.KeyHolding.PendingAsk;
import io.rhubarbward.quota.KeyHolding.Waiter;
import io.rhubarbward.quota.QuotaAnswer.Grant;
import io.rhubarbward.quota.QuotaAsk.Claim;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;

/**
 * Acquires units from custodians for this router's requests.
 *
 * <p>A unit is requested when a request needs it and is held only while that request runs, so that
 * thousands of routers leave no unit idle. At most one ask per key is pending; requests that arrive
 * in the meantime share the next one.
 */
final class QuotaHolder {
    private static final Duration BATCH_DELAY = Duration.ofMillis(2);

    /**
     * How long requests use the fallback at once after an ask timed out, unless an answer comes.
     */
    private static final long CUSTODIAN_UNREACHABLE_MILLIS = 1000;

    private final QuotaContext mContext;
    private final QuotaMessageSender mSender;
    private final FallbackQuota mFallback;
    private final Map<String, KeyHolding> mHoldings = new HashMap<>();
    private final Map<String, Set<KeyHolding>> mUnsentClaims = new HashMap<>();
    private final Map<String, Long> mUnreachableUntilMillis = new HashMap<>();
    private final Map<String, Long> mUnansweredQueries = new HashMap<>();
    // Starts from the incarnation, in milliseconds, so that it keeps increasing across restarts.
    private long mSequence;

    QuotaHolder(QuotaContext context, QuotaMessageSender sender, long incarnation) {
        mContext = context;
        mSender = sender;
        mFallback = new FallbackQuota(context);
        mSequence = incarnation;
    }

    CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key) {
        QuotaCapacity capacity = mContext.capacities().apply(key);
        if (capacity.unlimited()) {
            return EitherStage.completed(Either.right(() -> {}));
        }
        KeyHolding holding = mHoldings.computeIfAbsent(key.text(), text -> new KeyHolding(key));
        if (!capacity.limitsRate() && holding.held() >= capacity.concurrency()) {
            return EitherStage.completed(
                    Either.left(
                            new QuotaRefusal(key, QuotaContext.CONCURRENCY_RETRY_AFTER_MILLIS)));
        }
        Waiter waiter = new Waiter();
        holding.enqueue(waiter);
        scheduleClaim(holding);
        return waiter;
    }

    /** Queues a claim with the held and wanted units for the key's custodian. */
    private void scheduleClaim(KeyHolding holding) {
        if (holding.pending() != null) {
            return;
        }
        String custodian = mContext.custodian(holding.text());
        if (mUnreachableUntilMillis.getOrDefault(custodian, Long.MIN_VALUE)
                > mContext.nowMillis()) {
            fallBack(holding, holding.dequeue(holding.waiting()));
        }
        enqueueClaim(holding, custodian);
    }

    private void enqueueClaim(KeyHolding holding, String custodian) {
        enqueueClaims(List.of(holding), custodian);
    }

    private void enqueueClaims(List<KeyHolding> holdings, String custodian) {
        if (custodian.equals(mContext.ownVm())) {
            send(custodian, holdings);
        } else if (mUnsentClaims.containsKey(custodian)) {
            mUnsentClaims.get(custodian).addAll(holdings);
        } else {
            mUnsentClaims.put(custodian, new LinkedHashSet<>(holdings));
            mContext.timers().after(BATCH_DELAY, () -> flush(custodian));
        }
    }

    private void flush(String custodian) {
        Set<KeyHolding> holdings = mUnsentClaims.remove(custodian);
        if (holdings != null) {
            send(
                    custodian,
                    holdings.stream()
                            .filter(holding -> !hasPendingAskTo(holding, custodian))
                            .toList());
        }
    }

    private static boolean hasPendingAskTo(KeyHolding holding, String custodian) {
        PendingAsk ask = holding.pending();
        return ask != null && ask.custodian().equals(custodian);
    }

    private void send(String custodian, List<KeyHolding> holdings) {
        if (holdings.isEmpty()) {
            return;
        }
        long sequence = ++mSequence;
        long nowMillis = mContext.nowMillis();
        List<Claim> claims =
                holdings.stream()
                        .map(
                                holding ->
                                        new Claim(
                                                holding.text(),
                                                holding.held(),
                                                wanted(holding, custodian)))
                        .toList();
        for (KeyHolding holding : holdings) {
            int wanted = wanted(holding, custodian);
            holding.onAskSent(new PendingAsk(custodian, sequence, wanted, nowMillis));
        }
        if (claims.stream().anyMatch(claim -> claim.wanted() > 0)) {
            mContext.timers()
                    .after(
                            Duration.ofMillis(QuotaContext.ASK_TIMEOUT_MILLIS),
                            () -> onTimeout(custodian, sequence, holdings));
        }
        Long answeredQuery = mUnansweredQueries.remove(custodian);
        mSender.send(
                custodian,
                new QuotaAsk(
                        sequence,
                        answeredQuery == null ? QuotaAsk.NO_QUERY : answeredQuery,
                        claims));
    }

    /**
     * Returns the units to request: none while an ask is pending, and none from a router that is
     * not the key's custodian in this router's view. A router that sent a query may not be; it only
     * gets the report.
     */
    private int wanted(KeyHolding holding, String custodian) {
        boolean isCustodian = custodian.equals(mContext.custodian(holding.text()));
        return isCustodian && holding.pending() == null ? holding.waiting() : 0;
    }

    void onAnswer(String custodian, QuotaAnswer answer) {
        mUnreachableUntilMillis.remove(custodian);
        answer.grants().forEach(grant -> onGrant(custodian, answer.sequence(), grant));
    }

    private void onGrant(String custodian, long sequence, Grant grant) {
        KeyHolding holding = mHoldings.get(grant.key());
        PendingAsk ask = holding == null ? null : holding.pending();
        if (holding == null || ask == null || !isCurrentAnswer(custodian, sequence, ask)) {
            return;
        }
        holding.abandonAsk();
        boolean concurrencyLimit = !mContext.capacities().apply(holding.key()).limitsRate();
        // Dequeue all before completing any, because completing a waiter may call acquire again.
        List<Waiter> granted = holding.dequeue(Math.min(grant.granted(), ask.wanted()));
        List<Waiter> refused = holding.dequeue(ask.wanted() - granted.size());
        holding.addHeld(concurrencyLimit ? granted.size() : 0);
        granted.forEach(waiter -> waiter.complete(Either.right(permit(holding, concurrencyLimit))));
        if (grant.retryAfterMillis() == QuotaAnswer.NOT_CUSTODIAN) {
            fallBack(holding, refused);
        } else {
            refused.forEach(waiter -> refuse(waiter, holding, grant.retryAfterMillis()));
        }
        if (holding.waiting() > 0) {
            scheduleClaim(holding);
        }
    }

    /** A late answer is ignored: the custodian may have granted its units to others since. */
    private boolean isCurrentAnswer(String custodian, long sequence, PendingAsk ask) {
        return ask.custodian().equals(custodian)
                && ask.sequence() == sequence
                && mContext.nowMillis() - ask.sentMillis() <= QuotaContext.ASK_TIMEOUT_MILLIS;
    }

    private QuotaPermit permit(KeyHolding holding, boolean concurrencyLimit) {
        return concurrencyLimit ? new HeldPermit(() -> release(holding)) : () -> {};
    }

    private void release(KeyHolding holding) {
        holding.addHeld(-1);
        scheduleClaim(holding);
    }

    private static void refuse(Waiter waiter, KeyHolding holding, long retryAfterMillis) {
        waiter.complete(Either.left(new QuotaRefusal(holding.key(), retryAfterMillis)));
    }

    private void fallBack(KeyHolding holding, List<Waiter> waiters) {
        for (Waiter waiter : waiters) {
            if (mFallback.tryAcquire(holding)) {
                QuotaPermit permit = new HeldPermit(() -> mFallback.release(holding));
                waiter.complete(Either.right(permit));
            } else {
                refuse(waiter, holding, QuotaContext.CONCURRENCY_RETRY_AFTER_MILLIS);
            }
        }
    }

    private void onTimeout(String custodian, long sequence, List<KeyHolding> holdings) {
        List<KeyHolding> unanswered =
                holdings.stream()
                        .filter(holding -> isPending(holding, custodian, sequence))
                        .toList();
        if (unanswered.isEmpty()) {
            return;
        }
        mUnreachableUntilMillis.put(custodian, mContext.nowMillis() + CUSTODIAN_UNREACHABLE_MILLIS);
        mContext.events()
                .log(LogEvent.CUSTODIAN_UNREACHABLE, EventField.of("custodian", custodian));
        for (KeyHolding holding : unanswered) {
            holding.abandonAsk();
            fallBack(holding, holding.dequeue(holding.waiting()));
            // The custodian may have granted units in an answer that was lost; correct its record.
            enqueueClaim(holding, custodian);
        }
    }

    private static boolean isPending(KeyHolding holding, String custodian, long sequence) {
        PendingAsk ask = holding.pending();
        return ask != null && ask.sequence() == sequence && ask.custodian().equals(custodian);
    }

    /** Reports the held units to a new custodian; abandons pending asks for its keys. */
    void onQuery(String custodian, HoldingsQuery query) {
        mUnansweredQueries.put(custodian, query.number());
        List<KeyHolding> queried =
                query.keys().stream()
                        .flatMap(key -> QuotaKey.parse(key).stream())
                        .map(key -> mHoldings.computeIfAbsent(key.text(), t -> new KeyHolding(key)))
                        .toList();
        queried.forEach(KeyHolding::abandonAsk);
        enqueueClaims(queried, custodian);
        queried.stream().filter(holding -> holding.waiting() > 0).forEach(this::scheduleClaim);
    }

    /** Sends claims to the new custodians of keys whose custodian changed. */
    void onMembersChanged() {
        for (KeyHolding holding : List.copyOf(mHoldings.values())) {
            String custodian = mContext.custodian(holding.text());
            PendingAsk ask = holding.pending();
            if (ask != null && !ask.custodian().equals(custodian)) {
                holding.abandonAsk();
            }
            boolean unreported = holding.held() > 0 && !holding.reportedTo(custodian);
            if (unreported || holding.waiting() > 0) {
                scheduleClaim(holding);
            }
        }
    }

    /** Abandons every ask, since answers are out of date after a pause, and reports again. */
    void onPauseDetected() {
        for (KeyHolding holding : List.copyOf(mHoldings.values())) {
            holding.abandonAsk();
            scheduleClaim(holding);
        }
    }

    /** Repeats all reports, in case one was lost, and removes keys that are not in use. */
    void refresh() {
        mUnreachableUntilMillis
                .values()
                .removeIf(untilMillis -> untilMillis <= mContext.nowMillis());
        mFallback.removeFullBuckets();
        mHoldings.values().removeIf(holding -> holding.idle() && holding.idleReported());
        List.copyOf(mHoldings.values()).forEach(this::scheduleClaim);
    }

    int held() {
        return mHoldings.values().stream().mapToInt(KeyHolding::held).sum();
    }

    Map<String, Object> state() {
        Map<String, Integer> held = new TreeMap<>();
        mHoldings.values().stream()
                .filter(holding -> holding.held() > 0)
                .forEach(holding -> held.put(holding.text(), holding.held()));
        Map<String, Integer> fallback = new TreeMap<>();
        mHoldings.values().stream()
                .filter(holding -> holding.fallbackHeld() > 0)
                .forEach(holding -> fallback.put(holding.text(), holding.fallbackHeld()));
        return Map.of(
                "held",
                held,
                "fallback",
                fallback,
                "unreachable",
                mUnreachableUntilMillis.keySet());
    }

    /** A permit whose unit is given back only once, however often it is released. */
    private static final class HeldPermit implements QuotaPermit {
        private final Runnable mOnRelease;
        private boolean mReleased;

        HeldPermit(Runnable onRelease) {
            mOnRelease = onRelease;
        }

        @Override
        public void release() {
            if (!mReleased) {
                mReleased = true;
                mOnRelease.run();
            }
        }
    }
}
