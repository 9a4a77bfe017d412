package io.rhubarbward.config;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.store.WatchBatch;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Watches the platform for accepted configurations while this router is a relay.
 *
 * <p>Each watch waits only briefly, so that a watch that was lost silently, or a store that was
 * restored from a backup, is noticed within the time in which a change must be in force.
 */
final class PlatformRelay {
    private static final Duration WATCH_WAIT = Duration.ofSeconds(2);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CHECK_PERIOD = Duration.ofMillis(500);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    private final String mSite;
    private final ConfigObjects mObjects;
    private final ConfigReplica mReplica;
    private final BooleanSupplier mActsAsRelay;
    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final EventLog mEvents;
    private final Runnable mOnActivated;
    private final Runnable mOnLowerHead;
    private boolean mRunning;
    private long mRevision;
    private long mWatchNumber;
    private long mWatchStartMillis;
    private boolean mWatching;
    private Duration mRetryDelay = MIN_RETRY_DELAY;
    private long mLastAnswerMillis;
    private @Nullable SiteHead mFetchingHead;

    PlatformRelay(
            ConfigIdentity identity,
            ObjectStore store,
            ConfigReplica replica,
            BooleanSupplier actsAsRelay,
            TimerService timers,
            RandomGenerator random,
            EventLog events,
            Runnable onActivated,
            Runnable onLowerHead) {
        mSite = identity.site();
        mObjects = new ConfigObjects(store);
        mReplica = replica;
        mActsAsRelay = actsAsRelay;
        mTimers = timers;
        mRandom = random;
        mEvents = events;
        mOnActivated = onActivated;
        mOnLowerHead = onLowerHead;
    }

    void start() {
        mRunning = true;
        mLastAnswerMillis = mTimers.nowMillis();
        mTimers.every(CHECK_PERIOD, this::check);
        mTimers.execute(this::check);
    }

    void stop() {
        mRunning = false;
    }

    /** Returns when the platform last answered; the time of the start before that. */
    long lastAnswerMillis() {
        return mLastAnswerMillis;
    }

    boolean watching() {
        return mWatching;
    }

    private void check() {
        boolean timedOut = mTimers.nowMillis() - mWatchStartMillis > WATCH_TIMEOUT.toMillis();
        if (!mWatching || timedOut) {
            watch();
        }
    }

    private void watch() {
        if (!mRunning || !mActsAsRelay.getAsBoolean()) {
            mWatching = false;
            return;
        }
        mWatching = true;
        mWatchStartMillis = mTimers.nowMillis();
        long watchNumber = ++mWatchNumber;
        long afterRevision = mRevision;
        mObjects.store()
                .watch(ConfigKeys.HEAD.path(), afterRevision, WATCH_WAIT)
                .thenAccept(
                        batch -> {
                            // Ignores the answer to a watch that has timed out and was replaced.
                            if (watchNumber == mWatchNumber) {
                                onBatch(batch, afterRevision);
                            }
                        });
    }

    private void onBatch(Either<PlatformFailure, WatchBatch> result, long afterRevision) {
        if (result.isLeft()) {
            retry(this::watch);
            return;
        }
        recordAnswer();
        WatchBatch batch = result.get();
        boolean changesMissed = batch.gap() || batch.revision() < afterRevision;
        mRevision = batch.revision();
        if (changesMissed) {
            readHead();
        } else {
            batch.changes().stream()
                    .filter(object -> object.key().equals(ConfigKeys.HEAD))
                    .forEach(this::onObject);
        }
        watch();
    }

    private void recordAnswer() {
        mRetryDelay = MIN_RETRY_DELAY;
        mLastAnswerMillis = mTimers.nowMillis();
    }

    /**
     * Retries with exponential backoff, and with jitter so that routers do not retry all at once.
     */
    private void retry(Runnable action) {
        long millis = mRetryDelay.toMillis();
        mRetryDelay = Duration.ofMillis(Math.min(2 * millis, MAX_RETRY_DELAY.toMillis()));
        mTimers.after(Duration.ofMillis(millis / 2 + mRandom.nextLong(millis)), action);
    }

    private void readHead() {
        mObjects.store()
                .read(ConfigKeys.HEAD)
                .thenAccept(
                        read -> {
                            boolean absent =
                                    read.isLeft()
                                            && read.getLeft() instanceof PlatformFailure.NotFound;
                            if (absent) {
                                onLowerHead(0);
                            } else if (read.isLeft()) {
                                retry(this::readHead);
                            } else {
                                onObject(read.get());
                            }
                        });
    }

    private void onObject(StoredObject object) {
        ConfigHead.parse(object.value())
                .peek(head -> onHead(SiteHead.of(head, mSite)))
                .peekLeft(this::logRefusal);
    }

    private void logRefusal(ConfigFailure failure) {
        mEvents.log(LogEvent.CONFIG_REFUSED, EventField.of("reason", failure.message()));
    }

    private void onHead(SiteHead head) {
        if (head.generation() < mReplica.generation()) {
            onLowerHead(head.generation());
        } else if (mFetchingHead == null || head.generation() > mFetchingHead.generation()) {
            mFetchingHead = head;
            fetch(head);
        }
    }

    /** Keeps the generation in force if the store holds a lower one or no head. */
    private void onLowerHead(long generation) {
        if (mReplica.generation() > 0) {
            mEvents.log(
                    LogEvent.CONFIG_HEAD_LOWER,
                    EventField.of("stored", generation),
                    EventField.of("generation", mReplica.generation()));
            mOnLowerHead.run();
        }
    }

    private void fetch(SiteHead head) {
        if (!head.equals(mFetchingHead)) {
            return;
        }
        if (!mReplica.isCandidate(head)) {
            mFetchingHead = null;
            return;
        }
        mReplica.missingChunks(head).stream()
                .findFirst()
                .ifPresentOrElse(name -> fetchChunk(head, name), () -> activate(head));
    }

    private void fetchChunk(SiteHead head, String name) {
        mObjects.chunk(name)
                .thenAccept(
                        read -> {
                            if (read.isLeft()) {
                                retry(() -> fetch(head));
                                return;
                            }
                            recordAnswer();
                            mReplica.addChunk(read.get());
                            fetch(head);
                        });
    }

    private void activate(SiteHead head) {
        mFetchingHead = null;
        if (mReplica.activate(head)) {
            mOnActivated.run();
        }
    }
}
