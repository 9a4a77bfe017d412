package io.rhubarbward.quota;

import io.rhubarbward.platform.EitherStage;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Grants from this router's own counts, as if it were the only router. */
public final class LocalQuotaService implements QuotaService, StateSource {
    private static final long CONCURRENCY_RETRY_MILLIS = 1000;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Function<QuotaKey, QuotaCapacity> mCapacities;
    private final TimerService mTimers;
    private final Map<QuotaKey, Integer> mInUse = new HashMap<>();
    private final Map<QuotaKey, Bucket> mBuckets = new HashMap<>();

    /** Grants up to what the function says that each limit holds now. */
    public LocalQuotaService(Function<QuotaKey, QuotaCapacity> capacities, TimerService timers) {
        mCapacities = capacities;
        mTimers = timers;
    }

    @Override
    public CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key) {
        QuotaCapacity capacity = mCapacities.apply(key);
        return EitherStage.completed(
                capacity.rate() ? spend(key, capacity) : use(key, capacity.concurrency()));
    }

    private Either<QuotaRefusal, QuotaPermit> use(QuotaKey key, int units) {
        if (mInUse.getOrDefault(key, 0) >= units) {
            return Either.left(new QuotaRefusal(key, CONCURRENCY_RETRY_MILLIS));
        }
        mInUse.merge(key, 1, Integer::sum);
        return Either.right(
                () -> mInUse.computeIfPresent(key, (k, used) -> used > 1 ? used - 1 : null));
    }

    private Either<QuotaRefusal, QuotaPermit> spend(QuotaKey key, QuotaCapacity capacity) {
        long now = mTimers.nowMillis();
        Bucket bucket =
                mBuckets.getOrDefault(key, new Bucket(capacity.burst(), now)).at(now, capacity);
        if (bucket.tokens() < 1) {
            mBuckets.put(key, bucket);
            double wait = (1 - bucket.tokens()) / capacity.perSecond() * MILLIS_PER_SECOND;
            return Either.left(new QuotaRefusal(key, (long) Math.ceil(wait)));
        }
        mBuckets.put(key, new Bucket(bucket.tokens() - 1, now));
        return Either.right(() -> {});
    }

    @Override
    public String name() {
        return "quota";
    }

    @Override
    public Object state() {
        Map<String, Integer> inUse = new HashMap<>();
        mInUse.forEach((key, used) -> inUse.put(key.text(), used));
        return Map.of("inUse", inUse, "rates", mBuckets.size());
    }

    /** Tokens of a rate at a time. */
    private record Bucket(double tokens, long atMillis) {
        Bucket at(long now, QuotaCapacity capacity) {
            double earned = (now - atMillis) / MILLIS_PER_SECOND * capacity.perSecond();
            return new Bucket(Math.min(capacity.burst(), tokens + earned), now);
        }
    }
}
