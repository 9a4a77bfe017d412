package io.rhubarbward.quota;

/** Token bucket of a rate limit: refilled at the rate up to the burst size. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private double mTokens;
    private long mRefilledMillis;

    /** Creates a full bucket. */
    TokenBucket(int burst, long nowMillis) {
        mTokens = burst;
        mRefilledMillis = nowMillis;
    }

    /** Spends up to the wanted number of whole tokens; returns how many were spent. */
    int spend(int wanted, double perSecond, int burst, long nowMillis) {
        refill(perSecond, burst, nowMillis);
        int spent = (int) Math.min(wanted, Math.floor(mTokens));
        mTokens -= spent;
        return spent;
    }

    /** Returns the time until the next whole token is available, at least 1 ms. */
    long millisUntilNextToken(double perSecond) {
        double missing = Math.max(0, 1 - mTokens);
        return Math.max(1, (long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND));
    }

    /** Returns whether the bucket is full, like a new one. */
    boolean isFull(double perSecond, int burst, long nowMillis) {
        refill(perSecond, burst, nowMillis);
        return mTokens >= burst;
    }

    private void refill(double perSecond, int burst, long nowMillis) {
        double refilled = (nowMillis - mRefilledMillis) / MILLIS_PER_SECOND * perSecond;
        mTokens = Math.min(burst, mTokens + refilled);
        mRefilledMillis = nowMillis;
    }
}
