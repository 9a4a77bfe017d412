package io.rhubarbward.move;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * The lease of the router that may advance rollouts, with a fencing number that grows with each
 * change of holder.
 *
 * <pre>{@code
 * lease.tick();
 * if (lease.holds()) {
 *     order(lease.fence());
 * }
 * }</pre>
 *
 * <p>A holder counts its term from before it sent the renewal; a contender counts from when it saw
 * the last renewal, and waits longer. Both use monotonic clocks, and clocks of two machines are
 * never compared.
 *
 * <p>A store that was restored from an older copy may have lost the lease or have an earlier one. A
 * lost lease that this process knew of is therefore treated like that of a silent holder, and a new
 * fencing number is above every one that this process has seen.
 */
public final class RolloutLease {
    /** How long the holder may act after a renewal. */
    static final Duration TERM = Duration.ofSeconds(5);

    /** Stands for the nonce where the store has no lease. */
    private static final String NO_LEASE = "";

    private static final ObjectKey KEY = ObjectKey.of("leases/move");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TAKE_OVER_AFTER = Duration.ofSeconds(6);
    private static final Duration RENEW_AFTER = Duration.ofSeconds(2);

    private final String mOwner;
    private final ObjectStore mStore;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private @Nullable Observed mLastObserved;
    private @Nullable Write mLastWrite;
    private boolean mCallPending;
    private long mHeldVersion;
    private long mFence;
    private long mHighestFence;
    private long mTermEndMillis = Long.MIN_VALUE;
    private long mLastSentMillis = Long.MIN_VALUE;
    private long mHeldSinceMillis;
    private long mWriteCount;

    /**
     * Creates the lease of the owner, which does not hold it yet.
     *
     * @param owner the VM's name and its process's incarnation, so that a restarted process does
     *     not take its predecessor's lease for its own
     */
    public RolloutLease(String owner, ObjectStore store, TimerService timers, EventLog events) {
        mOwner = owner;
        mStore = store;
        mTimers = timers;
        mEvents = events;
    }

    /** Returns whether this owner may act now; call it immediately before each action. */
    public boolean holds() {
        return mHeldVersion != 0 && mTimers.nowMillis() < mTermEndMillis;
    }

    /** Returns the fencing number under which this owner last held the lease. */
    public long fence() {
        return mFence;
    }

    /** Returns a nonce that no other writer uses. */
    String nonce(long number) {
        return mOwner + "-" + mFence + "-" + number;
    }

    /** Returns when this owner took the lease over, on the monotonic clock. */
    long heldSinceMillis() {
        return mHeldSinceMillis;
    }

    /** Gives the lease up, because an engine has seen a higher fencing number. */
    void markLost() {
        mHeldVersion = 0;
    }

    /** Renews the lease or contends for it; called every second while it is needed. */
    public void tick() {
        if (mCallPending) {
            return;
        }
        if (mHeldVersion == 0) {
            mCallPending = true;
            mStore.read(KEY).thenAccept(this::onRead);
        } else if (mTimers.nowMillis() >= mLastSentMillis + RENEW_AFTER.toMillis()) {
            write(mFence, mHeldVersion);
        }
    }

    private void onRead(Either<PlatformFailure, StoredObject> read) {
        mCallPending = false;
        if (read.isLeft()) {
            if (read.getLeft() instanceof PlatformFailure.NotFound) {
                takeOver(NO_LEASE, 0);
            }
            return;
        }
        StoredObject object = read.get();
        LeaseRecord record = parse(object);
        mHighestFence = Math.max(mHighestFence, record.fence());
        if (mLastWrite != null && record.nonce().equals(mLastWrite.nonce())) {
            markHeld(mLastWrite, object.version());
        } else {
            takeOver(record.nonce(), object.version());
        }
    }

    /** Writes the lease once the holder that wrote it with the nonce has been silent for long. */
    private void takeOver(String nonce, long version) {
        boolean neverSeen = mHighestFence == 0;
        if (!neverSeen && (mLastObserved == null || !mLastObserved.nonce().equals(nonce))) {
            mLastObserved = new Observed(nonce, mTimers.nowMillis());
        } else if (mLastObserved == null
                || mTimers.nowMillis() - mLastObserved.atMillis() >= TAKE_OVER_AFTER.toMillis()) {
            write(mHighestFence + 1, version);
        }
    }

    private void write(long fence, long expectedVersion) {
        mCallPending = true;
        Write write = new Write(fence, mOwner + "-" + mWriteCount++, mTimers.nowMillis());
        mLastWrite = write;
        mLastSentMillis = write.sentMillis();
        String value = toJson(new LeaseRecord(mOwner, fence, write.nonce()));
        CompletionStage<Either<PlatformFailure, StoredObject>> answer =
                expectedVersion == 0
                        ? mStore.create(KEY, value)
                        : mStore.update(KEY, value, expectedVersion);
        answer.thenAccept(written -> onWritten(write, written));
    }

    private void onWritten(Write write, Either<PlatformFailure, StoredObject> written) {
        mCallPending = false;
        if (written.isRight()) {
            markHeld(write, written.get().version());
        } else if (!(written.getLeft() instanceof PlatformFailure.Unavailable)) {
            // The write failed or its outcome is unclear: the next tick reads who holds the lease.
            mHeldVersion = 0;
        }
    }

    private void markHeld(Write write, long version) {
        mHighestFence = Math.max(mHighestFence, write.fence());
        if (write.fence() != mFence) {
            mFence = write.fence();
            mHeldSinceMillis = mTimers.nowMillis();
            mEvents.log(LogEvent.MOVE_LEASE_TAKEN, EventField.of("fence", mFence));
        }
        mHeldVersion = version;
        mTermEndMillis = write.sentMillis() + TERM.toMillis();
    }

    private static LeaseRecord parse(StoredObject object) {
        try {
            return MAPPER.readValue(object.value(), LeaseRecord.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "not a lease record, though only this class writes it: " + object.key(), e);
        }
    }

    private static String toJson(LeaseRecord record) {
        try {
            return MAPPER.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a lease record could not be written as JSON", e);
        }
    }

    /** The nonce of the newest lease that was read, and when it was first seen. */
    private record Observed(String nonce, long atMillis) {}

    /** A write of the lease object by this process. */
    private record Write(long fence, String nonce, long sentMillis) {}
}
