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
 * Keeps one router's calls to the platform within its share.
 *
 * <p>Status objects may wait for a later report, so that their calls are refused as over budget
 * while calls run short. All others, such as configuration and claims, wait for their turn.
 */
public final class RateLimitedObjectStore implements ObjectStore {
    /** The keys whose calls may be left out. */
    private static final String DEFERRABLE_PREFIX = "status/";

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

    private final ObjectStore mStore;
    private final TimerService mTimers;
    private final CallBudget mReads;
    private final CallBudget mWrites;

    /** Passes calls on to the store within the budget. */
    public RateLimitedObjectStore(ObjectStore store, TimerService timers, Budget budget) {
        mStore = store;
        mTimers = timers;
        mReads = new CallBudget(budget.readsPerSecond(), timers);
        mWrites = new CallBudget(budget.writesPerSecond(), timers);
    }

    /** Keeps to the budget from now on. */
    public void budget(Budget budget) {
        mReads.rate(budget.readsPerSecond());
        mWrites.rate(budget.writesPerSecond());
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key) {
        return call(mReads, key.path(), () -> mStore.read(key));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> create(
            ObjectKey key, String value) {
        return call(mWrites, key.path(), () -> mStore.create(key, value));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion) {
        return call(mWrites, key.path(), () -> mStore.update(key, value, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectKey>> delete(
            ObjectKey key, long expectedVersion) {
        return call(mWrites, key.path(), () -> mStore.delete(key, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix) {
        return call(mReads, prefix, () -> mStore.list(prefix));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait) {
        return call(mReads, prefix, () -> mStore.watch(prefix, afterRevision, wait));
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> call(
            CallBudget budget,
            String path,
            Supplier<CompletionStage<Either<PlatformFailure, T>>> call) {
        if (path.startsWith(DEFERRABLE_PREFIX)) {
            return budget.tryTake() ? call.get() : overBudget();
        }
        Duration wait = budget.reserve();
        if (wait.isZero()) {
            return call.get();
        }
        if (wait.compareTo(LONGEST_WAIT) > 0) {
            budget.giveBack();
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
     * What one router may call.
     *
     * @param readsPerSecond reads, lists and watches
     * @param writesPerSecond creates, updates and deletes
     */
    public record Budget(int readsPerSecond, int writesPerSecond) {}
}
