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

/** What a router has of one limit: units in use, requests that wait, and the ask under way. */
final class KeyHolding {
    private final QuotaKey mKey;
    private final String mText;
    private final Deque<Waiter> mWaiting = new ArrayDeque<>();
    private int mHeld;
    private int mFallbackHeld;
    private @Nullable PendingAsk mPending;
    private @Nullable String mStatedTo;
    private boolean mIdleStated;

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

    /** Returns the units in use under leases. */
    int held() {
        return mHeld;
    }

    /** Returns the units in use from the reserve. */
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

    /** Returns whether the custodian was last told that nothing is in use. */
    boolean idleStated() {
        return mIdleStated;
    }

    boolean statedTo(String custodian) {
        return custodian.equals(mStatedTo);
    }

    void await(Waiter waiter) {
        mWaiting.add(waiter);
        mIdleStated = false;
    }

    /** Notes that what is held was stated in the ask, and that it wants units for all who wait. */
    void asked(PendingAsk ask) {
        mStatedTo = ask.custodian();
        mIdleStated = mHeld == 0;
        if (ask.wanted() > 0) {
            mPending = ask;
        }
    }

    /** Gives up the ask; an answer to it is of no effect from now on. */
    void abandonAsk() {
        mPending = null;
    }

    /** Takes up to the number of those who wait out of the queue, oldest first. */
    List<Waiter> take(int count) {
        List<Waiter> taken = new ArrayList<>();
        while (taken.size() < count && !mWaiting.isEmpty()) {
            taken.add(mWaiting.remove());
        }
        return taken;
    }

    void hold(int units) {
        mHeld += units;
    }

    void holdFallback(int units) {
        mFallbackHeld += units;
    }

    /** A request that waits for a unit. */
    static final class Waiter extends CompletableFuture<Either<QuotaRefusal, QuotaPermit>> {}

    /**
     * An ask under way.
     *
     * @param custodian whom it went to
     * @param sequence its number
     * @param wanted units wanted of this key
     * @param sentMillis when it was sent
     */
    record PendingAsk(String custodian, long sequence, int wanted, long sentMillis) {}
}
