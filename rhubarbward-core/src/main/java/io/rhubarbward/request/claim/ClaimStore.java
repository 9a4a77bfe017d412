package io.rhubarbward.request.claim;

import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Claims idempotency keys in the platform's store, so that each request runs at most once.
 *
 * <pre>{@code
 * claims.claim(request).thenAccept(result -> {
 *     if (result instanceof ClaimResult.Granted granted) {
 *         send();
 *     }
 * });
 * }</pre>
 *
 * <p>A compare-and-set write of the key's bucket decides which exchange may send the request, even
 * if several routers try at once. A granted claim ends by {@link #recordAnswer}, {@link
 * #recordUnknownOutcome} or {@link #release}. If it does not, because its router died, the outcome
 * counts as unknown after the deadline of the exchange. All calls are made on the timer service's
 * thread.
 */
public final class ClaimStore implements StateSource {
    private static final int WRITER_CACHE_SIZE = 1024;
    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(200);

    /** With doubling delays, the attempts span at least 51 seconds. */
    private static final int MAX_SETTLE_ATTEMPTS = 9;

    private final ObjectStore mStore;
    private final TimerService mTimers;
    private final String mNoncePrefix;
    private final LinkedHashMap<ObjectKey, BucketWriter> mWriters =
            new LinkedHashMap<>(WRITER_CACHE_SIZE, 0.75f, true);
    private long mNextNonceNumber;
    private int mHeldClaims;

    /**
     * Creates a claim store without claims of its own.
     *
     * @param noncePrefix unique to this router process, so that no two claims share a nonce
     */
    public ClaimStore(ObjectStore store, TimerService timers, String noncePrefix) {
        mStore = store;
        mTimers = timers;
        mNoncePrefix = noncePrefix;
    }

    /** Claims the key, or returns what became of the request that claimed it before. */
    public CompletionStage<ClaimResult> claim(ClaimRequest request) {
        String nonce = mNoncePrefix + "." + Long.toString(mNextNonceNumber++, Character.MAX_RADIX);
        ClaimTicket ticket = new ClaimTicket(request.key(), nonce);
        long untilMillis = mTimers.epochMillis() + request.timeLimit().toMillis();
        long expiryMillis = mTimers.nowMillis() + request.timeLimit().toMillis();
        CompletionStage<ClaimResult> pendingResult =
                writer(request.key())
                        .apply(bucket -> applyClaim(bucket, request, ticket, untilMillis));
        return pendingResult.thenApply(result -> checkExpiry(result, ticket, expiryMillis));
    }

    private ClaimResult checkExpiry(ClaimResult result, ClaimTicket ticket, long expiryMillis) {
        boolean granted = result instanceof ClaimResult.Granted;
        // If this process was paused for long, another router may have removed the expired claim.
        if (granted && mTimers.nowMillis() < expiryMillis) {
            mHeldClaims++;
            return result;
        }
        if (granted || result instanceof ClaimResult.StoreUnavailable) {
            // The write may have taken effect. Nothing was sent, so the claim is removed again.
            settle(ticket, claim -> null, 1);
            return new ClaimResult.StoreUnavailable();
        }
        return result;
    }

    private BucketChange.Outcome applyClaim(
            ClaimBucket bucket, ClaimRequest request, ClaimTicket ticket, long untilMillis) {
        long nowEpochMillis = mTimers.epochMillis();
        ClaimBucket retained =
                bucket.withoutExpiredBefore(nowEpochMillis - request.retention().toMillis());
        return retained.find(request.key())
                .map(
                        found ->
                                found.nonce().equals(ticket.nonce())
                                        ? new BucketChange.Outcome(
                                                bucket, new ClaimResult.Granted(ticket))
                                        : new BucketChange.Outcome(
                                                bucket,
                                                found.resultFor(request.digest(), nowEpochMillis)))
                .orElseGet(
                        () ->
                                new BucketChange.Outcome(
                                        retained.with(newClaim(request, ticket, untilMillis)),
                                        new ClaimResult.Granted(ticket)));
    }

    private static Claim newClaim(ClaimRequest request, ClaimTicket ticket, long untilMillis) {
        return new Claim(
                request.key().id(),
                request.digest(),
                ticket.nonce(),
                untilMillis,
                Claim.State.CLAIMED,
                null);
    }

    /**
     * Ends the claim with the answer.
     *
     * @return completes with whether the store could be updated
     */
    public CompletionStage<Boolean> recordAnswer(ClaimTicket ticket, StoredAnswer answer) {
        return endClaim(ticket, claim -> claim.withAnswer(answer));
    }

    /** Ends the claim of a request that may have run and whose answer is lost. */
    public CompletionStage<Boolean> recordUnknownOutcome(ClaimTicket ticket) {
        return endClaim(ticket, Claim::withUnknownOutcome);
    }

    /** Removes the claim; only for a request that certainly did not run. */
    public CompletionStage<Boolean> release(ClaimTicket ticket) {
        return endClaim(ticket, claim -> null);
    }

    private CompletionStage<Boolean> endClaim(
            ClaimTicket ticket, Function<Claim, @Nullable Claim> change) {
        mHeldClaims--;
        return settle(ticket, change, 1);
    }

    /** Applies the change to the ticket's claim; a change that returns null removes the claim. */
    private CompletionStage<Boolean> settle(
            ClaimTicket ticket, Function<Claim, @Nullable Claim> change, int attempt) {
        BucketChange bucketChange = bucket -> applySettlement(bucket, ticket, change);
        return writer(ticket.key())
                .apply(bucketChange)
                .thenCompose(
                        result -> {
                            if (!(result instanceof ClaimResult.StoreUnavailable)) {
                                return CompletableFuture.completedFuture(true);
                            }
                            return attempt < MAX_SETTLE_ATTEMPTS
                                    ? retrySettle(ticket, change, attempt)
                                    : CompletableFuture.completedFuture(false);
                        });
    }

    private CompletionStage<Boolean> retrySettle(
            ClaimTicket ticket, Function<Claim, @Nullable Claim> change, int attempt) {
        CompletableFuture<Boolean> settled = new CompletableFuture<>();
        Duration delay = FIRST_RETRY_DELAY.multipliedBy(1L << (attempt - 1));
        mTimers.after(
                delay, () -> settle(ticket, change, attempt + 1).thenAccept(settled::complete));
        return settled;
    }

    private static BucketChange.Outcome applySettlement(
            ClaimBucket bucket, ClaimTicket ticket, Function<Claim, @Nullable Claim> change) {
        ClaimBucket after = bucket;
        Claim found = bucket.find(ticket).orElse(null);
        if (found != null) {
            Claim changed = change.apply(found);
            after = changed == null ? bucket.without(found.id()) : bucket.with(changed);
        }
        return new BucketChange.Outcome(after, new ClaimResult.Granted(ticket));
    }

    private BucketWriter writer(ClaimKey key) {
        if (mWriters.size() > WRITER_CACHE_SIZE) {
            mWriters.values().removeIf(BucketWriter::idle);
        }
        return mWriters.computeIfAbsent(
                key.bucketKey(), bucketKey -> new BucketWriter(bucketKey, mStore));
    }

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public Object state() {
        return Map.of("held", mHeldClaims, "bucketsInMemory", mWriters.size());
    }
}
