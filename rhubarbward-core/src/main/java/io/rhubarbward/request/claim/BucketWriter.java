package io.rhubarbward.request.claim;

import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * Changes one bucket by compare-and-set, with all pending changes batched into one write.
 *
 * <p>After a conflict or a lost answer, the writer reads the bucket back and applies the changes
 * again. Each write expects the version that was read, so that a write that takes effect late can
 * never overwrite another.
 */
final class BucketWriter {
    private static final int MAX_ATTEMPTS = 8;

    private final ObjectKey mKey;
    private final ObjectStore mStore;
    private final List<PendingChange> mPending = new ArrayList<>();
    private @Nullable VersionedBucket mCached;
    private boolean mBusy;

    BucketWriter(ObjectKey key, ObjectStore store) {
        mKey = key;
        mStore = store;
    }

    CompletionStage<ClaimResult> apply(BucketChange change) {
        PendingChange pending = new PendingChange(change, new CompletableFuture<>());
        mPending.add(pending);
        if (!mBusy) {
            mBusy = true;
            startAttempt(List.of(), 1);
        }
        return pending.result();
    }

    /** Returns whether no change is pending or being written. */
    boolean idle() {
        return !mBusy;
    }

    /** Applies the changes of a failed attempt together with those that arrived since. */
    private void startAttempt(List<PendingChange> retried, int attempt) {
        List<PendingChange> batch = new ArrayList<>(retried);
        batch.addAll(mPending);
        mPending.clear();
        VersionedBucket cached = mCached;
        if (cached != null) {
            write(batch, cached, false, attempt);
        } else {
            read(batch, attempt);
        }
    }

    private void read(List<PendingChange> batch, int attempt) {
        mStore.read(mKey).thenAccept(read -> onRead(batch, read, attempt));
    }

    private void onRead(
            List<PendingChange> batch, Either<PlatformFailure, StoredObject> read, int attempt) {
        if (read.isLeft() && read.getLeft() instanceof PlatformFailure.NotFound) {
            write(batch, VersionedBucket.ABSENT, true, attempt);
            return;
        }
        Either<PlatformFailure, VersionedBucket> base = read.flatMap(VersionedBucket::of);
        if (base.isLeft()) {
            fail(batch);
        } else {
            write(batch, base.get(), true, attempt);
        }
    }

    private void write(
            List<PendingChange> batch, VersionedBucket base, boolean freshlyRead, int attempt) {
        ClaimBucket bucket = base.bucket();
        List<ClaimResult> results = new ArrayList<>();
        for (PendingChange pending : batch) {
            BucketChange.Outcome outcome = pending.change().apply(bucket);
            bucket = outcome.bucket();
            results.add(outcome.result());
        }
        if (bucket.equals(base.bucket())) {
            onUnchanged(batch, results, base, freshlyRead, attempt);
            return;
        }
        ClaimBucket written = bucket;
        store(base, bucket.json())
                .thenAccept(stored -> onWritten(batch, results, written, stored, attempt));
    }

    /**
     * Completes changes that need no write, but only after a fresh read: the cached bucket may be
     * outdated, which a conditional write would have detected.
     */
    private void onUnchanged(
            List<PendingChange> batch,
            List<ClaimResult> results,
            VersionedBucket base,
            boolean freshlyRead,
            int attempt) {
        if (freshlyRead) {
            mCached = base;
            complete(batch, results);
        } else {
            read(batch, attempt);
        }
    }

    private CompletionStage<Either<PlatformFailure, StoredObject>> store(
            VersionedBucket base, String json) {
        return base.version() == 0
                ? mStore.create(mKey, json)
                : mStore.update(mKey, json, base.version());
    }

    private void onWritten(
            List<PendingChange> batch,
            List<ClaimResult> results,
            ClaimBucket written,
            Either<PlatformFailure, StoredObject> stored,
            int attempt) {
        if (stored.isRight()) {
            mCached = new VersionedBucket(stored.get().version(), written);
            complete(batch, results);
            return;
        }
        mCached = null;
        PlatformFailure failure = stored.getLeft();
        boolean resolvedByReading =
                failure instanceof PlatformFailure.Conflict
                        || failure instanceof PlatformFailure.NotFound
                        || failure instanceof PlatformFailure.AnswerLost;
        if (resolvedByReading && attempt < MAX_ATTEMPTS) {
            startAttempt(batch, attempt + 1);
        } else {
            fail(batch);
        }
    }

    private void fail(List<PendingChange> batch) {
        mCached = null;
        List<ClaimResult> results =
                batch.stream()
                        .<ClaimResult>map(pending -> new ClaimResult.StoreUnavailable())
                        .toList();
        complete(batch, results);
    }

    private void complete(List<PendingChange> batch, List<ClaimResult> results) {
        if (mPending.isEmpty()) {
            mBusy = false;
        }
        boolean hasMore = mBusy;
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).result().complete(results.get(i));
        }
        if (hasMore) {
            startAttempt(List.of(), 1);
        }
    }

    /**
     * A change that is not stored yet.
     *
     * @param change the change
     * @param result completed when the change is stored or has failed
     */
    private record PendingChange(BucketChange change, CompletableFuture<ClaimResult> result) {}

    /**
     * A bucket as last read from or written to the store.
     *
     * @param version the object's version; 0 if the object does not exist
     * @param bucket the claims
     */
    private record VersionedBucket(long version, ClaimBucket bucket) {
        static final VersionedBucket ABSENT = new VersionedBucket(0, ClaimBucket.EMPTY);

        static Either<PlatformFailure, VersionedBucket> of(StoredObject object) {
            return ClaimBucket.parse(object.value())
                    .map(bucket -> new VersionedBucket(object.version(), bucket));
        }
    }
}
