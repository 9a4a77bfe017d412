package io.rhubarbward.store;

import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Keeps a listener up to date with all objects of one kind by list and watch.
 *
 * <pre>{@code
 * new KindWatcher<>(servers, directory, wait, timers, availability, random).start();
 * }</pre>
 *
 * <p>It lists again when the store no longer has the change history, when it was restored from an
 * older copy, and after {@link #relist()}. Objects that a restored store lacks are kept until those
 * who wrote them had time to write them again. Failed calls are retried with exponential backoff
 * and jitter.
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
    private final Duration mRest;
    private final TimerService mTimers;
    private final StoreAvailability mAvailability;
    private final RandomGenerator mRandom;

    /** Number of the newest call; answers to older calls are ignored. */
    private long mCallNumber;

    private long mCallsSent;

    private long mLastCallMillis = NEVER;
    private Runnable mRetry = () -> {};
    private long mBackoffMillis = MIN_BACKOFF_MILLIS;
    private long mUpToDateAtMillis = NEVER;
    private long mSynchronisedAtMillis = NEVER;
    private boolean mHasListed;
    private boolean mPaused;

    /** The store's revision that the listener's state matches. */
    private StoreRevision mRevision = StoreRevision.NONE;

    /** Whether the newest call is a list, which is answered in the newest era. */
    private boolean mListOpen;

    /** Names of the objects that the listener has, those in {@link #mMissing} included. */
    private final Set<String> mNames = new HashSet<>();

    /** Names of known objects that the store has lacked since it was restored. */
    private final Set<String> mMissing = new HashSet<>();

    private int mRestores;

    private Consumer<KindUpdate> mUpdateSubscriber = update -> {};

    /**
     * Prepares to watch the kind.
     *
     * @param wait how long the store waits for a change before it answers a watch
     * @param rest pause after a watch that returned changes, in which further changes gather
     */
    public KindWatcher(
            ObjectKind<T> kind,
            KindListener<T> listener,
            Duration wait,
            Duration rest,
            TimerService timers,
            StoreAvailability availability,
            RandomGenerator random) {
        mKind = kind;
        mListener = listener;
        mWatchWait = wait;
        mRest = rest;
        mTimers = timers;
        mAvailability = availability;
        mRandom = random;
    }

    /** Starts to list and watch. */
    public void start() {
        subscribe();
        relist();
    }

    private void subscribe() {
        mAvailability.subscribeToRecovery(this::retryHungCall);
        mAvailability.era().subscribe(this::listInNewEra);
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
                                    delete(object.name());
                                } else {
                                    put(decode(object));
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

    private void put(DecodedObject<T> item) {
        mNames.add(item.name());
        mMissing.remove(item.name());
        mListener.onItem(item);
    }

    private void delete(String name) {
        mNames.remove(name);
        mMissing.remove(name);
        mListener.onDeleted(name);
    }

    private void applySnapshot(StoreRevision revision, List<DecodedObject<T>> items) {
        StoreRevision before = mRevision;
        mRevision = revision;
        Set<String> listed = items.stream().map(DecodedObject::name).collect(Collectors.toSet());
        boolean restored = !before.equals(StoreRevision.NONE) && !before.isInEraOf(revision);
        if (restored) {
            mNames.stream().filter(name -> !listed.contains(name)).forEach(mMissing::add);
        }
        mMissing.removeAll(listed);
        if (mMissing.isEmpty()) {
            mNames.clear();
            mNames.addAll(listed);
            mListener.onSnapshot(items);
        } else {
            mNames.stream()
                    .filter(name -> !listed.contains(name) && !mMissing.contains(name))
                    .toList()
                    .forEach(this::delete);
            items.forEach(this::put);
        }
        if (restored) {
            keepMissing(before, listed.size());
        }
    }

    /** Keeps the objects that a restored store lacks until they had time to be written again. */
    private void keepMissing(StoreRevision before, int listed) {
        mAvailability.logRestoredKind(
                name(), before, mRevision, listed, Set.copyOf(mMissing), stalenessMillis());
        mListener.onRestored(Set.copyOf(mMissing));
        int restores = ++mRestores;
        mTimers.after(
                mListener.rewriteTime(),
                () -> {
                    if (restores == mRestores) {
                        List.copyOf(mMissing).forEach(this::delete);
                    }
                });
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
        list(Optional.empty(), new ArrayList<>(), mTimers.nowMillis());
    }

    private void list(
            Optional<String> afterName, List<DecodedObject<T>> items, long firstSentMillis) {
        mListOpen = true;
        call(
                "list " + mKind.name(),
                () -> mKind.list(afterName),
                page -> {
                    boolean continued =
                            items.isEmpty() || items.get(0).revision().isInEraOf(page.revision());
                    items.addAll(page.items());
                    if (!continued) {
                        list();
                    } else if (page.more() && !page.items().isEmpty()) {
                        String last = page.items().get(page.items().size() - 1).name();
                        list(Optional.of(last), items, firstSentMillis);
                    } else {
                        mListOpen = false;
                        onListed(new ObjectPage<>(items, false, page.revision()), firstSentMillis);
                    }
                },
                this::list);
    }

    private void onListed(ObjectPage<T> page, long sentMillis) {
        mHasListed = true;
        // A peer's update may be newer than a list that was sent before it.
        if (mRevision.isAfter(page.revision())) {
            mAvailability.logOutdatedAnswer("list " + name(), page.revision(), mRevision);
        } else {
            applySnapshot(page.revision(), page.items());
            mUpdateSubscriber.accept(KindUpdate.snapshot(name(), mRevision, page.items()));
        }
        confirm(page.revision(), sentMillis);
        if (!mPaused) {
            watch(mRevision, mWatchWait);
        }
    }

    private void watch(StoreRevision revision, Duration wait) {
        mListOpen = false;
        long sentMillis = mTimers.nowMillis();
        call(
                "watch " + mKind.name(),
                () -> mKind.watch(revision, wait),
                changes -> {
                    if (changes.gap() || !changes.revision().isInEraOf(revision)) {
                        list();
                    } else if (mRevision.isAfter(revision)) {
                        // A peer's update came first; the changes may be older than it.
                        watch(mRevision, RETRY_WATCH_WAIT);
                    } else {
                        changes.changes().forEach(this::apply);
                        StoreRevision reached = StoreRevision.later(revision, changes.revision());
                        mRevision = reached;
                        markUpToDate(changes, sentMillis, wait);
                        mUpdateSubscriber.accept(
                                KindUpdate.changes(name(), revision, reached, changes.changes()));
                        watchAfter(reached, changes.changes().isEmpty() ? Duration.ZERO : mRest);
                    }
                },
                // A watch with a short wait notices soonest that the store is available again.
                () -> watch(revision, RETRY_WATCH_WAIT));
    }

    /** Watches after a rest, in which further changes gather, so that one call returns them all. */
    private void watchAfter(StoreRevision revision, Duration rest) {
        if (rest.isZero()) {
            watch(revision, mWatchWait);
            return;
        }
        long number = mCallNumber;
        mTimers.after(
                rest,
                () -> {
                    if (number == mCallNumber) {
                        watch(revision, mWatchWait);
                    }
                });
    }

    private void markUpToDate(ObjectChanges<T> changes, long sentMillis, Duration wait) {
        confirmAt(
                changes.changes().isEmpty()
                        ? sentMillis + wait.toMillis() - MAX_MISSED_CHANGES_MILLIS
                        : sentMillis);
    }

    private void apply(ObjectChanges.Change<T> change) {
        if (change.deleted()) {
            delete(change.item().name());
        } else {
            put(change.item());
        }
    }

    private <R extends StoreAnswer> void call(
            String callName,
            Supplier<CompletionStage<Either<PlatformFailure, R>>> request,
            Consumer<R> onResult,
            Runnable retry) {
        long number = ++mCallNumber;
        mCallsSent++;
        mLastCallMillis = mTimers.nowMillis();
        mRetry = retry;
        request.get()
                .thenAccept(
                        result -> {
                            if (number == mCallNumber) {
                                result.filterOrElse(
                                                answer ->
                                                        !mAvailability
                                                                .era()
                                                                .isPast(answer.revision()),
                                                answer ->
                                                        new PlatformFailure.PastEra(
                                                                answer.revision()))
                                        .peek(answer -> succeed(callName, answer, onResult))
                                        .peekLeft(failure -> fail(callName, failure, retry));
                            }
                        });
    }

    private <R extends StoreAnswer> void succeed(String callName, R value, Consumer<R> onResult) {
        mBackoffMillis = MIN_BACKOFF_MILLIS;
        mLastCallMillis = mTimers.nowMillis();
        mAvailability.callSucceeded();
        mAvailability.era().observe(value.revision().era(), callName);
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
