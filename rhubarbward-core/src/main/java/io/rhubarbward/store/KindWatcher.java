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
 * Keeps a listener up to date with one kind: lists it once, then watches.
 *
 * <pre>{@code
 * new KindWatcher<>(servers, directory, timing, context).start();
 * }</pre>
 *
 * <p>It lists again when the store has dropped the history, and after {@link #relist()}. Failed
 * calls are repeated after a growing pause.
 *
 * @param <T> what an object says
 */
public final class KindWatcher<T> {
    /** First pause after a failed call; doubles up to {@link #MAX_PAUSE_MILLIS}. */
    private static final long MIN_PAUSE_MILLIS = 100;

    /** Longest pause: an outage's end is noticed well within the two seconds that entries need. */
    private static final long MAX_PAUSE_MILLIS = 800;

    /** How long changes may stay unseen by a watch that is open while the store drops history. */
    private static final long WATCH_DEAFNESS_MILLIS = 1200;

    /** Age from which a call that is open when the store comes back may never be answered. */
    private static final long LOST_CALL_MILLIS = 500;

    /** Wait of a watch that repeats a failed one. */
    private static final Duration PROBE_WAIT = Duration.ofMillis(50);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ObjectKind<T> mKind;
    private final KindListener<T> mListener;
    private final Duration mWait;
    private final TimerService mTimers;
    private final StoreAvailability mAvailability;
    private final RandomGenerator mRandom;

    /** The newest call; answers to older ones are not heard. */
    private long mCall;

    private long mCallSentMillis = NEVER;
    private Runnable mRepeat = () -> {};
    private long mPauseMillis = MIN_PAUSE_MILLIS;
    private long mConfirmedMillis = NEVER;
    private boolean mListed;

    /** Follows the kind with watches that wait at most so long. */
    public KindWatcher(
            ObjectKind<T> kind,
            KindListener<T> listener,
            Duration wait,
            TimerService timers,
            StoreAvailability availability,
            RandomGenerator random) {
        mKind = kind;
        mListener = listener;
        mWait = wait;
        mTimers = timers;
        mAvailability = availability;
        mRandom = random;
    }

    /** Starts to follow. */
    public void start() {
        mAvailability.subscribeToReturn(this::repeatLostCall);
        relist();
    }

    /** Lists the kind again, whatever is under way; nothing counts as confirmed until then. */
    public void relist() {
        mConfirmedMillis = NEVER;
        list();
    }

    /** A connection that fell silent with the store does not tell that the store is back. */
    private void repeatLostCall() {
        if (mTimers.nowMillis() - mCallSentMillis >= LOST_CALL_MILLIS) {
            mRepeat.run();
        }
    }

    /** Returns whether the kind was ever read. */
    public boolean hasListed() {
        return mListed;
    }

    /**
     * Returns how old the listener's knowledge may be, in milliseconds: the time since the last
     * moment at which the store is known to have held nothing newer.
     */
    public long stalenessMillis() {
        return mTimers.nowMillis() - mConfirmedMillis;
    }

    private void list() {
        list(Optional.empty(), new ArrayList<>(), mTimers.nowMillis());
    }

    private void list(Optional<String> after, List<DecodedObject<T>> items, long firstSentMillis) {
        await(
                "list " + mKind.name(),
                () -> mKind.list(after),
                page -> {
                    items.addAll(page.items());
                    if (page.more() && !page.items().isEmpty()) {
                        String last = page.items().get(page.items().size() - 1).name();
                        list(Optional.of(last), items, firstSentMillis);
                    } else {
                        mListed = true;
                        mConfirmedMillis = firstSentMillis;
                        mListener.onSnapshot(items);
                        watch(page.revision(), mWait);
                    }
                },
                this::list);
    }

    private void watch(long revision, Duration wait) {
        long sentMillis = mTimers.nowMillis();
        await(
                "watch " + mKind.name(),
                () -> mKind.watch(revision, wait),
                changes -> {
                    if (changes.gap()) {
                        list();
                    } else {
                        confirm(changes, sentMillis, wait);
                        changes.changes().forEach(this::apply);
                        watch(Math.max(revision, changes.revision()), mWait);
                    }
                },
                // A call that hardly waits finds out soonest that the store is back.
                () -> watch(revision, PROBE_WAIT));
    }

    private void confirm(ObjectChanges<T> changes, long sentMillis, Duration wait) {
        long heard =
                changes.changes().isEmpty()
                        ? sentMillis + wait.toMillis() - WATCH_DEAFNESS_MILLIS
                        : sentMillis;
        mConfirmedMillis = Math.max(mConfirmedMillis, Math.min(heard, mTimers.nowMillis()));
    }

    private void apply(ObjectChanges.Change<T> change) {
        if (change.deleted()) {
            mListener.onDeleted(change.item().name());
        } else {
            mListener.onItem(change.item());
        }
    }

    private <R> void await(
            String name,
            Supplier<CompletionStage<Either<PlatformFailure, R>>> request,
            Consumer<R> next,
            Runnable repeat) {
        long call = ++mCall;
        mCallSentMillis = mTimers.nowMillis();
        mRepeat = repeat;
        request.get()
                .thenAccept(
                        result -> {
                            if (call == mCall) {
                                result.peek(value -> succeed(value, next))
                                        .peekLeft(failure -> fail(name, failure, repeat));
                            }
                        });
    }

    private <R> void succeed(R value, Consumer<R> next) {
        mPauseMillis = MIN_PAUSE_MILLIS;
        mCallSentMillis = mTimers.nowMillis();
        mAvailability.succeeded();
        next.accept(value);
    }

    private void fail(String name, PlatformFailure failure, Runnable repeat) {
        mAvailability.failed(name, failure);
        long call = mCall;
        long pause = mPauseMillis / 2 + mRandom.nextLong(mPauseMillis);
        mPauseMillis = Math.min(MAX_PAUSE_MILLIS, mPauseMillis * 2);
        mTimers.after(
                Duration.ofMillis(pause),
                () -> {
                    if (call == mCall) {
                        repeat.run();
                    }
                });
    }
}
