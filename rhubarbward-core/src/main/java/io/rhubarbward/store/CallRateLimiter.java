package io.rhubarbward.store;

import io.rhubarbward.timer.TimerService;
import java.time.Duration;

/**
 * A token bucket for calls to the platform, which holds the tokens of one second.
 *
 * <p>Calls that must be made reserve a token and wait until it is there. Droppable calls are
 * refused when they would leave less than half of the bucket, so that they hardly delay the others.
 */
final class CallRateLimiter {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double SHARE_KEPT_FOR_RESERVATIONS = 0.5;

    private final TimerService mTimers;
    private double mTokensPerSecond;
    private double mTokens;
    private long mRefilledMillis;

    CallRateLimiter(int tokensPerSecond, TimerService timers) {
        mTimers = timers;
        mTokensPerSecond = tokensPerSecond;
        mTokens = tokensPerSecond;
        mRefilledMillis = timers.nowMillis();
    }

    /** Sets the rate and, with it, the size of the bucket. */
    void rate(int tokensPerSecond) {
        refill();
        mTokensPerSecond = tokensPerSecond;
    }

    /**
     * Takes a token, in advance if the bucket is empty; returns how long to wait until it is there.
     */
    Duration reserve() {
        refill();
        mTokens--;
        return mTokens >= 0
                ? Duration.ZERO
                : Duration.ofMillis(
                        (long) Math.ceil(-mTokens / mTokensPerSecond * MILLIS_PER_SECOND));
    }

    /** Returns a reserved token that was not used. */
    void giveBack() {
        mTokens++;
    }

    /** Takes a token unless that leaves less than the share kept for reservations. */
    boolean tryTake() {
        refill();
        if (mTokens - 1 < mTokensPerSecond * SHARE_KEPT_FOR_RESERVATIONS) {
            return false;
        }
        mTokens--;
        return true;
    }

    private void refill() {
        long now = mTimers.nowMillis();
        double newTokens = (now - mRefilledMillis) * mTokensPerSecond / MILLIS_PER_SECOND;
        mTokens = Math.min(mTokensPerSecond, mTokens + newTokens);
        mRefilledMillis = now;
    }
}
