package io.rhubarbward.quota;

import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** This router's state for one limit: units in use, waiting requests and the pending ask. */
final class KeyHolding {
    private final QuotaKey mKey;
    private final String mText;
    private final Deque<Waiter> mWaiting = new ArrayDeque<>();
    private int mHeld;
    private int mFallbackHeld;
    private @Nullable PendingAsk mPending;
    private @Nullable String mReportedTo;
    private boolean mIdleReported;

    KeyHolding(QuotaKey key) {
        mKey = key;
        mText = key.text();
    }

    QuotaKey key() {
        return mKey;
    }

    String text() {
        return mText;
    }

    /** Returns the units in use that a custodian granted. */
    int held() {
        return mHeld;
    }

    /** Returns the units in use that {@link FallbackQuota} granted from the reserve. */
    int fallbackHeld() {
        return mFallbackHeld;
    }

    int waiting() {
        return mWaiting.size();
    }

    @Nullable PendingAsk pending() {
        return mPending;
    }

    boolean idle() {
        return mHeld + mFallbackHeld + mWaiting.size() == 0 && mPending == null;
    }

    /** Returns whether the last ask reported that no units are held, and nobody waited since. */
    boolean idleReported() {
        return mIdleReported;
    }

    /** Returns whether the last ask about this limit went to the custodian. */
    boolean reportedTo(String custodian) {
        return custodian.equals(mReportedTo);
    }

    void enqueue(Waiter waiter) {
        mWaiting.add(waiter);
        mIdleReported = false;
    }

    /** Records that an ask reported the held units; it is pending if it requested any units. */
    void onAskSent(PendingAsk ask) {
        mReportedTo = ask.custodian();
        mIdleReported = mHeld == 0;
        if (ask.wanted() > 0) {
            mPending = ask;
        }
    }

    /** Abandons the pending ask; a later answer to it is ignored. */
    void abandonAsk() {
        mPending = null;
    }

    /** Removes and returns up to the given number of waiting requests, oldest first. */
    List<Waiter> dequeue(int maxCount) {
        List<Waiter> dequeued = new ArrayList<>();
        while (dequeued.size() < maxCount && !mWaiting.isEmpty()) {
            dequeued.add(mWaiting.remove());
        }
        return dequeued;
    }

    /** Adds to the held units; a negative number gives units back. */
    void addHeld(int units) {
        mHeld += units;
    }

    /** Adds to the held fallback units; a negative number gives units back. */
    void addFallbackHeld(int units) {
        mFallbackHeld += units;
    }

    /** A request that waits for a unit; completed with a permit or a refusal. */
    static final class Waiter extends CompletableFuture<Either<QuotaRefusal, QuotaPermit>> {}

    /**
     * An ask that has not been answered yet.
     *
     * @param custodian the VM that it was sent to
     * @param sequence the sequence number of the ask
     * @param wanted units requested for this key
     * @param sentMillis when it was sent
     */
    record PendingAsk(String custodian, long sequence, int wanted, long sentMillis) {}
}
