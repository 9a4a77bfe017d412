package io.rhubarbward.store;

import io.rhubarbward.store.PlatformFailure.Reason;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * An object store that limits the rate of one router's calls to the platform.
 *
 * <p>Calls for status objects fail with {@link PlatformFailure.Reason#OVER_BUDGET} while tokens are
 * scarce, since a later report makes up for them. All other calls, such as those for configuration
 * and claims, wait for a token; those that would wait over ten seconds fail at once too.
 */
public final class RateLimitedObjectStore implements ObjectStore {
    /** Prefix of the keys whose calls fail instead of being queued. */
    private static final String DROPPABLE_PREFIX = "status/";

    private static final Duration MAX_WAIT = Duration.ofSeconds(10);

    private final ObjectStore mStore;
    private final TimerService mTimers;
    private final CallRateLimiter mReadLimiter;
    private final CallRateLimiter mWriteLimiter;

    /** Limits the calls that are passed on to the store to the budget. */
    public RateLimitedObjectStore(ObjectStore store, TimerService timers, Budget budget) {
        mStore = store;
        mTimers = timers;
        mReadLimiter = new CallRateLimiter(budget.readsPerSecond(), timers);
        mWriteLimiter = new CallRateLimiter(budget.writesPerSecond(), timers);
    }

    /** Replaces the budget. */
    public void budget(Budget budget) {
        mReadLimiter.rate(budget.readsPerSecond());
        mWriteLimiter.rate(budget.writesPerSecond());
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key) {
        return call(mReadLimiter, key.path(), () -> mStore.read(key));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> create(
            ObjectKey key, String value) {
        return call(mWriteLimiter, key.path(), () -> mStore.create(key, value));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion) {
        return call(mWriteLimiter, key.path(), () -> mStore.update(key, value, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectKey>> delete(
            ObjectKey key, long expectedVersion) {
        return call(mWriteLimiter, key.path(), () -> mStore.delete(key, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix) {
        return call(mReadLimiter, prefix, () -> mStore.list(prefix));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait) {
        return call(mReadLimiter, prefix, () -> mStore.watch(prefix, afterRevision, wait));
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> call(
            CallRateLimiter limiter,
            String path,
            Supplier<CompletionStage<Either<PlatformFailure, T>>> call) {
        if (path.startsWith(DROPPABLE_PREFIX)) {
            return limiter.tryTake() ? call.get() : overBudget();
        }
        Duration wait = limiter.reserve();
        if (wait.isZero()) {
            return call.get();
        }
        if (wait.compareTo(MAX_WAIT) > 0) {
            limiter.giveBack();
            return overBudget();
        }
        CompletableFuture<Either<PlatformFailure, T>> answer = new CompletableFuture<>();
        mTimers.after(wait, () -> call.get().thenAccept(answer::complete));
        return answer;
    }

    private static <T> CompletionStage<Either<PlatformFailure, T>> overBudget() {
        return EitherStage.completed(
                Either.left(new PlatformFailure.Unavailable(Reason.OVER_BUDGET)));
    }

    /**
     * Limits of one router's calls.
     *
     * @param readsPerSecond limit of reads, lists and watches together
     * @param writesPerSecond limit of creates, updates and deletes together
     */
    public record Budget(int readsPerSecond, int writesPerSecond) {}
}
