package io.rhubarbward.store;

import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps a listener up to date with all objects of one kind by list and watch.
 *
 * <pre>{@code
 * new KindWatcher<>(servers, directory, timing, timers, availability, random).start();
 * }</pre>
 *
 * <p>It lists again when the store no longer has the change history, when it was restored from an
 * older copy, and after {@link #relist()}. Objects that a restored store lacks are kept until those
 * who wrote them had time to write them again. Failed calls are retried with exponential backoff
 * and jitter. A watch that did not return changes which a second call returns is abandoned, since
 * its connection may have gone silent.
 *
 * @param <T> the type of the decoded objects
 */
public final class KindWatcher<T> {
    /** How long a watch that is open while the store drops its history may miss changes. */
    private static final long MAX_MISSED_CHANGES_MILLIS = 1200;

    /** Age from which a call that is open at the end of an outage may never be answered. */
    private static final long HUNG_CALL_AGE_MILLIS = 500;

    /** Wait of a watch that retries or checks another one. */
    private static final Duration RETRY_WATCH_WAIT = Duration.ofMillis(50);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ObjectKind<T> mKind;
    private final KindListener<T> mListener;
    private final KnownObjects<T> mObjects;
    private final WatchTiming mTiming;
    private final TimerService mTimers;
    private final StoreAvailability mAvailability;
    private final RetryBackoff mBackoff;

    /** Number of the newest call; answers to older calls are ignored. */
    private long mCallNumber;

    private long mCallsSent;

    private long mLastCallMillis = NEVER;
    private Runnable mRetry = () -> {};
    private long mUpToDateAtMillis = NEVER;
    private long mSynchronisedAtMillis = NEVER;
    private boolean mHasListed;
    private boolean mPaused;

    /** The store's revision that the listener's state matches. */
    private StoreRevision mRevision = StoreRevision.NONE;

    /** Whether the newest call is a list, which is answered in the newest era. */
    private boolean mListOpen;

    /** Whether the newest call is a watch that is not answered yet. */
    private boolean mWatchOpen;

    private long mWatchCheckedMillis = NEVER;

    /** The revision up to which a check has shown that the open watch missed nothing. */
    private StoreRevision mCheckedRevision = StoreRevision.NONE;

    private Consumer<KindUpdate> mUpdateSubscriber = update -> {};

    /**
     * Prepares to watch the kind.
     *
     * @param timing when watches are sent and checked
     */
    public KindWatcher(
            ObjectKind<T> kind,
            KindListener<T> listener,
            WatchTiming timing,
            TimerService timers,
            StoreAvailability availability,
            RandomGenerator random) {
        mKind = kind;
        mListener = listener;
        mObjects = new KnownObjects<>(listener, timers);
        mTiming = timing;
        mTimers = timers;
        mAvailability = availability;
        mBackoff = new RetryBackoff(random);
    }

    /** Starts to list and watch. */
    public void start() {
        subscribe();
        relist();
    }

    private void subscribe() {
        mAvailability.subscribeToRecovery(this::retryHungCall);
        mAvailability.era().subscribe(this::listInNewEra);
        mAvailability.progress().subscribe(this::checkIfBehind);
    }

    /** Lists the kind unless a relay does so for this router, or a list is open. */
    private void listInNewEra() {
        boolean waitsForRelay = mPaused && mHasListed;
        if (mAvailability.era().isPast(mRevision) && !waitsForRelay && !mListOpen) {
            list();
        }
    }

    /** Lists the kind once and then waits for {@link #adopt} or {@link #resume}. */
    public void startPaused() {
        mPaused = true;
        subscribe();
        list();
    }

    /**
     * Lists the kind again, abandoning any open call; until listed, all is considered stale. A
     * paused watcher stays stale until a peer's update confirms its state.
     */
    public void relist() {
        mUpToDateAtMillis = NEVER;
        mSynchronisedAtMillis = NEVER;
        if (mPaused && mHasListed) {
            abandonCall();
        } else {
            list();
        }
    }

    /** Stops calling the store and abandons any open call; the state is kept. */
    public void pause() {
        mPaused = true;
        abandonCall();
        mRetry = () -> {};
    }

    private void abandonCall() {
        mCallNumber++;
        mListOpen = false;
        mWatchOpen = false;
    }

    /**
     * Calls the store again after {@link #pause}. The first watch is short, so that it confirms the
     * state soon.
     */
    public void resume() {
        mPaused = false;
        if (mHasListed && !mAvailability.era().isPast(mRevision)) {
            watch(mRevision, RETRY_WATCH_WAIT);
        } else {
            list();
        }
    }

    /** Calls the subscriber with each update of the state, in a form that can be sent to peers. */
    public void subscribeToUpdates(Consumer<KindUpdate> subscriber) {
        mUpdateSubscriber = subscriber;
    }

    /** Returns the kind's name. */
    public String name() {
        return mKind.name();
    }

    /** Returns the number of calls to the store so far. */
    public long calls() {
        return mCallsSent;
    }

    /** Returns the store's revision that the state matches; none before the first list. */
    public StoreRevision revision() {
        return mRevision;
    }

    /**
     * Applies what a peer has read from the store, unless this watcher's state is newer or the
     * update does not continue it.
     */
    public void adopt(KindUpdate update) {
        mAvailability.era().observe(update.revision().era(), "relay " + update.kind());
        if (update.snapshot()) {
            if (update.revision().isAfter(mRevision) || !mHasListed) {
                mHasListed = true;
                applySnapshot(
                        update.revision(), update.objects().stream().map(this::decode).toList());
                mUpdateSubscriber.accept(update);
            }
        } else if (update.since().isInEraOf(mRevision)
                && !update.since().isAfter(mRevision)
                && update.revision().isAfter(mRevision)) {
            mRevision = update.revision();
            update.objects()
                    .forEach(
                            object -> {
                                if (object.deleted()) {
                                    mObjects.delete(object.name());
                                } else {
                                    mObjects.put(decode(object));
                                }
                            });
            mUpdateSubscriber.accept(update);
        }
    }

    private DecodedObject<T> decode(KindUpdate.ObjectState object) {
        return mKind.decode(object.name(), object.revision(), object.text());
    }

    /**
     * Records that the state at the given revision matched the store at the given time on this
     * router's clock. A newer state of the same era matched it as well.
     */
    public void confirm(StoreRevision revision, long atMillis) {
        if (mHasListed && revision.isInEraOf(mRevision) && !revision.isAfter(mRevision)) {
            confirmAt(atMillis);
        }
    }

    private void confirmAt(long atMillis) {
        long confirmedMillis = Math.min(atMillis, mTimers.nowMillis());
        mSynchronisedAtMillis = Math.max(mSynchronisedAtMillis, confirmedMillis);
        if (mListener.storeIsUpToDate()) {
            mUpToDateAtMillis = Math.max(mUpToDateAtMillis, confirmedMillis);
        }
    }

    private void applySnapshot(StoreRevision revision, List<DecodedObject<T>> items) {
        StoreRevision before = mRevision;
        mRevision = revision;
        if (before.equals(StoreRevision.NONE) || before.isInEraOf(revision)) {
            mObjects.replace(items);
        } else {
            mAvailability.logRestoredKind(
                    name(),
                    before,
                    revision,
                    items.size(),
                    mObjects.replaceInNewEra(items),
                    stalenessMillis());
        }
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

    /**
     * Returns the time since the store's state was last known to have been read in full, in
     * milliseconds, whether or not it is as new as what is in force here.
     */
    public long millisSinceSynchronised() {
        return mTimers.nowMillis() - mSynchronisedAtMillis;
    }

    private void list() {
        list(new PagedList<>(mTimers.nowMillis()));
    }

    private void list(PagedList<T> list) {
        mListOpen = true;
        call(
                "list " + mKind.name(),
                () -> mKind.list(list.nextPage()),
                page -> {
                    if (!list.add(page)) {
                        list();
                    } else if (list.nextPage().isPresent()) {
                        list(list);
                    } else {
                        completeList(list);
                    }
                },
                this::list);
    }

    /** Applies the list once it has the changes that came between its pages. */
    private void completeList(PagedList<T> list) {
        if (!list.missesChanges()) {
            onListed(list);
            return;
        }
        call(
                "watch " + mKind.name(),
                () -> mKind.watch(list.revision(), RETRY_WATCH_WAIT),
                changes -> {
                    if (list.add(changes)) {
                        completeList(list);
                    } else {
                        list();
                    }
                },
                () -> completeList(list));
    }

    private void onListed(PagedList<T> list) {
        mListOpen = false;
        mHasListed = true;
        // A peer's update may be newer than a list that was sent before it.
        if (mRevision.isAfter(list.revision())) {
            mAvailability.logOutdatedAnswer("list " + name(), list.revision(), mRevision);
        } else {
            applySnapshot(list.revision(), list.items());
            mUpdateSubscriber.accept(KindUpdate.snapshot(name(), mRevision, list.items()));
        }
        confirm(list.revision(), list.sentMillis());
        if (!mPaused) {
            watch(mRevision, mTiming.hold());
        }
    }

    private void watch(StoreRevision revision, Duration wait) {
        mListOpen = false;
        long sentMillis = mTimers.nowMillis();
        call(
                "watch " + mKind.name(),
                () -> {
                    mWatchOpen = true;
                    return mKind.watch(revision, wait);
                },
                changes -> {
                    if (changes.gap() || !changes.revision().isInEraOf(revision)) {
                        list();
                    } else if (mRevision.isAfter(revision)) {
                        // A peer's update came first; the changes may be older than it.
                        watch(mRevision, RETRY_WATCH_WAIT);
                    } else {
                        onChanges(revision, changes, sentMillis, wait);
                    }
                },
                // A watch with a short wait notices soonest that the store is available again.
                () -> watch(revision, RETRY_WATCH_WAIT));
    }

    private void onChanges(
            StoreRevision since, ObjectChanges<T> changes, long sentMillis, Duration wait) {
        changes.changes().forEach(mObjects::apply);
        StoreRevision reached = StoreRevision.later(since, changes.revision());
        mRevision = reached;
        markUpToDate(changes, sentMillis, wait);
        mUpdateSubscriber.accept(KindUpdate.changes(name(), since, reached, changes.changes()));
        watchAfter(reached, changes.changes().isEmpty() ? Duration.ZERO : mTiming.rest());
    }

    private boolean checkIfBehind(StoreRevision reached) {
        long now = mTimers.nowMillis();
        boolean behind =
                mWatchOpen
                        && reached.isInEraOf(mRevision)
                        && reached.isAfter(StoreRevision.later(mRevision, mCheckedRevision));
        boolean due =
                now - Math.max(mLastCallMillis, mWatchCheckedMillis) >= mTiming.check().toMillis();
        if (behind && due) {
            checkWatch(mRevision, now);
        }
        return behind && due;
    }

    /** Asks for the changes that the open watch should have returned by now. */
    private void checkWatch(StoreRevision since, long sentMillis) {
        mWatchCheckedMillis = sentMillis;
        mCallsSent++;
        long watchNumber = mCallNumber;
        mKind.watch(since, RETRY_WATCH_WAIT)
                .thenAccept(
                        result -> {
                            // A peer's update may be newer than the answer.
                            boolean current = mWatchOpen && mRevision.equals(since);
                            if (watchNumber == mCallNumber && current) {
                                onChecked(since, orPastEra(result), sentMillis);
                            }
                        });
    }

    private void onChecked(
            StoreRevision since,
            Either<PlatformFailure, ObjectChanges<T>> result,
            long sentMillis) {
        String callName = "check of watch " + name();
        result.peek(changes -> onChecked(callName, since, changes, sentMillis))
                .peekLeft(failure -> mAvailability.callFailed(callName, failure));
    }

    private void onChecked(
            String callName, StoreRevision since, ObjectChanges<T> changes, long sentMillis) {
        if (changes.gap() || !changes.changes().isEmpty()) {
            mAvailability.logSilentWatch(
                    name(), since, changes.revision(), sentMillis - mLastCallMillis);
            abandonCall();
        } else {
            mCheckedRevision = changes.revision();
        }
        noteSuccess(callName, changes);
        if (changes.gap()) {
            list();
        } else if (!changes.changes().isEmpty()) {
            onChanges(since, changes, sentMillis, RETRY_WATCH_WAIT);
        }
    }

    /** Watches after a rest, in which further changes gather, so that one call returns them all. */
    private void watchAfter(StoreRevision revision, Duration rest) {
        if (rest.isZero()) {
            watch(revision, mTiming.hold());
            return;
        }
        long number = mCallNumber;
        mTimers.after(
                rest,
                () -> {
                    if (number == mCallNumber) {
                        watch(revision, mTiming.hold());
                    }
                });
    }

    private void markUpToDate(ObjectChanges<T> changes, long sentMillis, Duration wait) {
        confirmAt(
                changes.changes().isEmpty()
                        ? sentMillis + wait.toMillis() - MAX_MISSED_CHANGES_MILLIS
                        : sentMillis);
    }

    private <R extends StoreAnswer> void call(
            String callName,
            Supplier<CompletionStage<Either<PlatformFailure, R>>> request,
            Consumer<R> onResult,
            Runnable retry) {
        long number = ++mCallNumber;
        mWatchOpen = false;
        mCallsSent++;
        mLastCallMillis = mTimers.nowMillis();
        mRetry = retry;
        request.get()
                .thenAccept(
                        result -> {
                            if (number == mCallNumber) {
                                mWatchOpen = false;
                                orPastEra(result)
                                        .peek(answer -> succeed(callName, answer, onResult))
                                        .peekLeft(failure -> fail(callName, failure, retry));
                            }
                        });
    }

    private <R extends StoreAnswer> Either<PlatformFailure, R> orPastEra(
            Either<PlatformFailure, R> result) {
        return result.filterOrElse(
                answer -> !mAvailability.era().isPast(answer.revision()),
                answer -> new PlatformFailure.PastEra(answer.revision()));
    }

    private <R extends StoreAnswer> void succeed(String callName, R value, Consumer<R> onResult) {
        mBackoff.reset();
        mLastCallMillis = mTimers.nowMillis();
        noteSuccess(callName, value);
        onResult.accept(value);
    }

    private void noteSuccess(String callName, StoreAnswer answer) {
        mAvailability.callSucceeded();
        mAvailability.era().observe(answer.revision().era(), callName);
        mAvailability.progress().observe(answer.revision());
    }

    private void fail(String callName, PlatformFailure failure, Runnable retry) {
        mAvailability.callFailed(callName, failure);
        long number = mCallNumber;
        mTimers.after(
                mBackoff.next(),
                () -> {
                    if (number == mCallNumber) {
                        retry.run();
                    }
                });
    }
}
