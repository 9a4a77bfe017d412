package io.rhubarbward.store.memory;

import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.PlatformFailure.Reason;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.store.WatchBatch;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * An in-memory object store with fault injection.
 *
 * <pre>{@code
 * MemoryObjectStore store = new MemoryObjectStore(timers);
 * store.faults(PlatformFaults.NONE.withLoseAnswers(1));
 * }</pre>
 *
 * <p>Not thread-safe: all calls must be made on the timer service's thread.
 */
public final class MemoryObjectStore implements ObjectStore {
    /** The failure of every call while the store is down. */
    public static final PlatformFailure DOWN = new PlatformFailure.Unavailable(Reason.SERVER_ERROR);

    /** Changes that are kept for watches; a watch from before them is answered with a gap. */
    private static final int MAX_KEPT_CHANGES = 1000;

    private final TimerService mTimers;
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Deque<Change> mChanges = new ArrayDeque<>();
    private final List<PendingWatch> mWaitingWatches = new ArrayList<>();
    private PlatformFaults mFaults = PlatformFaults.NONE;
    private long mRevision;
    private long mDroppedRevision;
    private long mReadCalls;
    private long mWriteCalls;

    /** Creates an empty store without faults. */
    public MemoryObjectStore(TimerService timers) {
        mTimers = timers;
    }

    /** Replaces the faults to inject. */
    public void faults(PlatformFaults faults) {
        mFaults = faults;
    }

    /** Returns the faults that are still to be injected. */
    public PlatformFaults faults() {
        return mFaults;
    }

    /** Returns a copy of all objects, for {@link #restore}. */
    public Backup backup() {
        return new Backup(List.copyOf(mObjects.values()), mRevision);
    }

    /** Replaces all objects by those of a backup; waiting watches are not answered. */
    public void restore(Backup backup) {
        mObjects.clear();
        backup.objects().forEach(object -> mObjects.put(object.key().path(), object));
        mChanges.clear();
        mRevision = backup.revision();
        mDroppedRevision = mRevision;
    }

    /** Returns the number of watches of the prefix that are waiting. */
    public long waitingWatches(String prefix) {
        return mWaitingWatches.stream().filter(watch -> watch.mPrefix.equals(prefix)).count();
    }

    /** Returns the number of reads, lists and watches so far, failed ones included. */
    public long reads() {
        return mReadCalls;
    }

    /** Returns the number of creates, updates and deletes so far, failed ones included. */
    public long writes() {
        return mWriteCalls;
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key) {
        return answerRead(() -> find(key));
    }

    private Either<PlatformFailure, StoredObject> find(ObjectKey key) {
        return Optional.ofNullable(mObjects.get(key.path()))
                .<Either<PlatformFailure, StoredObject>>map(Either::right)
                .orElseGet(() -> Either.left(new PlatformFailure.NotFound(key)));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> create(
            ObjectKey key, String value) {
        return answerWrite(
                () ->
                        mObjects.containsKey(key.path())
                                ? Either.left(new PlatformFailure.Conflict(key))
                                : Either.right(write(key, value)));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion) {
        return answerWrite(
                () -> checkVersion(key, expectedVersion).map(found -> write(key, value)));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectKey>> delete(
            ObjectKey key, long expectedVersion) {
        return answerWrite(
                () -> checkVersion(key, expectedVersion).map(found -> remove(found.key())));
    }

    private Either<PlatformFailure, StoredObject> checkVersion(
            ObjectKey key, long expectedVersion) {
        return find(key)
                .flatMap(
                        found ->
                                found.version() == expectedVersion
                                        ? Either.right(found)
                                        : Either.left(new PlatformFailure.Conflict(key)));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix) {
        return answerRead(
                () ->
                        Either.right(
                                objectsWithPrefix(prefix)
                                        .map(item -> new Listed(item.key(), item.version()))
                                        .toList()));
    }

    private java.util.stream.Stream<StoredObject> objectsWithPrefix(String prefix) {
        return mObjects.tailMap(prefix, true).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(prefix))
                .map(java.util.Map.Entry::getValue);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait) {
        mReadCalls++;
        if (mFaults.down()) {
            return EitherStage.completed(unavailable());
        }
        PendingWatch watch = new PendingWatch(prefix, afterRevision);
        if (watch.canAnswer()) {
            return answerAfterDelay(Either.right(watch.batch()));
        }
        mWaitingWatches.add(watch);
        mTimers.after(wait, () -> answer(watch));
        return watch.mAnswer;
    }

    private void answer(PendingWatch watch) {
        if (mWaitingWatches.remove(watch)) {
            Either<PlatformFailure, WatchBatch> batch =
                    mFaults.down() ? unavailable() : Either.right(watch.batch());
            answerAfterDelay(batch).thenAccept(watch.mAnswer::complete);
        }
    }

    private StoredObject write(ObjectKey key, String value) {
        long version = ++mRevision;
        StoredObject object = new StoredObject(key, value, version);
        mObjects.put(key.path(), object);
        recordChange(key);
        return object;
    }

    private ObjectKey remove(ObjectKey key) {
        mRevision++;
        mObjects.remove(key.path());
        recordChange(key);
        return key;
    }

    private void recordChange(ObjectKey key) {
        mChanges.addLast(new Change(mRevision, key));
        if (mChanges.size() > MAX_KEPT_CHANGES) {
            mDroppedRevision = mChanges.removeFirst().revision();
        }
        mWaitingWatches.stream().filter(PendingWatch::canAnswer).toList().forEach(this::answer);
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> answerRead(
            Supplier<Either<PlatformFailure, T>> call) {
        mReadCalls++;
        return answerAfterDelay(mFaults.down() ? unavailable() : call.get());
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> answerWrite(
            Supplier<Either<PlatformFailure, T>> call) {
        mWriteCalls++;
        if (mFaults.down()) {
            return answerAfterDelay(unavailable());
        }
        if (mFaults.loseRequests() > 0) {
            mFaults = mFaults.withLoseRequests(mFaults.loseRequests() - 1);
            return answerAfterDelay(
                    Either.left(new PlatformFailure.AnswerLost(Reason.CONNECTION_LOST)));
        }
        Either<PlatformFailure, T> result = call.get();
        if (mFaults.loseAnswers() > 0) {
            mFaults = mFaults.withLoseAnswers(mFaults.loseAnswers() - 1);
            return answerAfterDelay(
                    Either.left(new PlatformFailure.AnswerLost(Reason.CONNECTION_LOST)));
        }
        return answerAfterDelay(result);
    }

    private static <T> Either<PlatformFailure, T> unavailable() {
        return Either.left(DOWN);
    }

    private <T> CompletionStage<T> answerAfterDelay(T result) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        mTimers.after(Duration.ofMillis(mFaults.delayMillis()), () -> answer.complete(result));
        return answer;
    }

    /**
     * A copy of all objects at one revision.
     *
     * @param objects all objects
     * @param revision the store's revision
     */
    public record Backup(List<StoredObject> objects, long revision) {
        public Backup {
            objects = List.copyOf(objects);
        }
    }

    /**
     * A record of a write or a deletion.
     *
     * @param revision the store's revision after the change
     * @param key the key of the changed object
     */
    private record Change(long revision, ObjectKey key) {}

    /** A watch that is answered once there are changes or its wait ends. */
    private final class PendingWatch {
        private final String mPrefix;
        private final long mAfterRevision;
        private final CompletableFuture<Either<PlatformFailure, WatchBatch>> mAnswer =
                new CompletableFuture<>();

        PendingWatch(String prefix, long afterRevision) {
            mPrefix = prefix;
            mAfterRevision = afterRevision;
        }

        boolean canAnswer() {
            return hasGap() || !changedKeys(change -> true).isEmpty();
        }

        WatchBatch batch() {
            List<StoredObject> changes =
                    changedKeys(change -> mObjects.containsKey(change.key().path())).stream()
                            .map(key -> mObjects.get(key.path()))
                            .toList();
            List<ObjectKey> deleted =
                    changedKeys(change -> !mObjects.containsKey(change.key().path()));
            return new WatchBatch(mRevision, changes, deleted, hasGap());
        }

        private boolean hasGap() {
            return mAfterRevision < mDroppedRevision;
        }

        private List<ObjectKey> changedKeys(Function<Change, Boolean> filter) {
            return mChanges.stream()
                    .filter(change -> change.revision() > mAfterRevision)
                    .filter(change -> change.key().path().startsWith(mPrefix))
                    .filter(filter::apply)
                    .map(Change::key)
                    .distinct()
                    .toList();
        }
    }
}
