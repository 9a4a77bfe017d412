package io.rhubarbward.store;

import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps a listener up to date with all objects of one kind by list and watch.
 *
 * <pre>{@code
 * new KindWatcher<>(servers, directory, wait, timers, availability, random).start();
 * }</pre>
 *
 * <p>It lists again when the store no longer has the change history, and after {@link #relist()}.
 * Failed calls are retried with exponential backoff and jitter.
 *
 * @param <T> the type of the decoded objects
 */
public final class KindWatcher<T> {
    /** Backoff after the first failed call, before jitter; doubles with each further one. */
    private static final long MIN_BACKOFF_MILLIS = 100;

    /**
     * Longest backoff before jitter: short enough to notice the end of an outage well within the
     * two seconds in which live servers list themselves again.
     */
    private static final long MAX_BACKOFF_MILLIS = 800;

    /** How long a watch that is open while the store drops its history may miss changes. */
    private static final long MAX_MISSED_CHANGES_MILLIS = 1200;

    /** Age from which a call that is open at the end of an outage may never be answered. */
    private static final long HUNG_CALL_AGE_MILLIS = 500;

    /** Wait of a watch that retries a failed one. */
    private static final Duration RETRY_WATCH_WAIT = Duration.ofMillis(50);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ObjectKind<T> mKind;
    private final KindListener<T> mListener;
    private final Duration mWatchWait;
    private final TimerService mTimers;
    private final StoreAvailability mAvailability;
    private final RandomGenerator mRandom;

    /** Number of the newest call; answers to older calls are ignored. */
    private long mCallNumber;

    private long mLastCallMillis = NEVER;
    private Runnable mRetry = () -> {};
    private long mBackoffMillis = MIN_BACKOFF_MILLIS;
    private long mUpToDateAtMillis = NEVER;
    private boolean mHasListed;

    /**
     * Prepares to watch the kind.
     *
     * @param wait how long the store waits for a change before it answers a watch
     */
    public KindWatcher(
            ObjectKind<T> kind,
            KindListener<T> listener,
            Duration wait,
            TimerService timers,
            StoreAvailability availability,
            RandomGenerator random) {
        mKind = kind;
        mListener = listener;
        mWatchWait = wait;
        mTimers = timers;
        mAvailability = availability;
        mRandom = random;
    }

    /** Starts to list and watch. */
    public void start() {
        mAvailability.subscribeToRecovery(this::retryHungCall);
        relist();
    }

    /** Lists the kind again, abandoning any open call; until listed, all is considered stale. */
    public void relist() {
        mUpToDateAtMillis = NEVER;
        list();
    }

    /** Retries an open call that may never be answered since its connection died in the outage. */
    private void retryHungCall() {
        if (mTimers.nowMillis() - mLastCallMillis >= HUNG_CALL_AGE_MILLIS) {
            mRetry.run();
        }
    }

    /** Returns whether the kind was listed completely at least once. */
    public boolean hasListed() {
        return mHasListed;
    }

    /**
     * Returns how stale the listener's state may be, in milliseconds: the time since it was last
     * known to match the store.
     */
    public long stalenessMillis() {
        return mTimers.nowMillis() - mUpToDateAtMillis;
    }

    private void list() {
        list(Optional.empty(), new ArrayList<>(), mTimers.nowMillis());
    }

    private void list(
            Optional<String> afterName, List<DecodedObject<T>> items, long firstSentMillis) {
        call(
                "list " + mKind.name(),
                () -> mKind.list(afterName),
                page -> {
                    items.addAll(page.items());
                    if (page.more() && !page.items().isEmpty()) {
                        String last = page.items().get(page.items().size() - 1).name();
                        list(Optional.of(last), items, firstSentMillis);
                    } else {
                        mHasListed = true;
                        mUpToDateAtMillis = firstSentMillis;
                        mListener.onSnapshot(items);
                        watch(page.revision(), mWatchWait);
                    }
                },
                this::list);
    }

    private void watch(long revision, Duration wait) {
        long sentMillis = mTimers.nowMillis();
        call(
                "watch " + mKind.name(),
                () -> mKind.watch(revision, wait),
                changes -> {
                    if (changes.gap()) {
                        list();
                    } else {
                        markUpToDate(changes, sentMillis, wait);
                        changes.changes().forEach(this::apply);
                        watch(Math.max(revision, changes.revision()), mWatchWait);
                    }
                },
                // A watch with a short wait notices soonest that the store is available again.
                () -> watch(revision, RETRY_WATCH_WAIT));
    }

    private void markUpToDate(ObjectChanges<T> changes, long sentMillis, Duration wait) {
        long upToDateAtMillis =
                changes.changes().isEmpty()
                        ? sentMillis + wait.toMillis() - MAX_MISSED_CHANGES_MILLIS
                        : sentMillis;
        mUpToDateAtMillis =
                Math.max(mUpToDateAtMillis, Math.min(upToDateAtMillis, mTimers.nowMillis()));
    }

    private void apply(ObjectChanges.Change<T> change) {
        if (change.deleted()) {
            mListener.onDeleted(change.item().name());
        } else {
            mListener.onItem(change.item());
        }
    }

    private <R> void call(
            String callName,
            Supplier<CompletionStage<Either<PlatformFailure, R>>> request,
            Consumer<R> onResult,
            Runnable retry) {
        long number = ++mCallNumber;
        mLastCallMillis = mTimers.nowMillis();
        mRetry = retry;
        request.get()
                .thenAccept(
                        result -> {
                            if (number == mCallNumber) {
                                result.peek(value -> succeed(value, onResult))
                                        .peekLeft(failure -> fail(callName, failure, retry));
                            }
                        });
    }

    private <R> void succeed(R value, Consumer<R> onResult) {
        mBackoffMillis = MIN_BACKOFF_MILLIS;
        mLastCallMillis = mTimers.nowMillis();
        mAvailability.callSucceeded();
        onResult.accept(value);
    }

    private void fail(String callName, PlatformFailure failure, Runnable retry) {
        mAvailability.callFailed(callName, failure);
        long number = mCallNumber;
        long backoffMillis = mBackoffMillis / 2 + mRandom.nextLong(mBackoffMillis);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        mTimers.after(
                Duration.ofMillis(backoffMillis),
                () -> {
                    if (number == mCallNumber) {
                        retry.run();
                    }
                });
    }
}
