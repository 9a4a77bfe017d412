package io.rhubarbward.quota;

/** Tokens of a rate: earned in time up to the burst, spent one for each request. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private double mTokens;
    private long mAtMillis;

    /** A full bucket. */
    TokenBucket(int burst, long nowMillis) {
        mTokens = burst;
        mAtMillis = nowMillis;
    }

    /** Spends up to the wanted whole tokens; returns how many. */
    int spend(int wanted, double perSecond, int burst, long nowMillis) {
        earn(perSecond, burst, nowMillis);
        int spent = (int) Math.min(wanted, Math.floor(mTokens));
        mTokens -= spent;
        return spent;
    }

    /** Returns when the next whole token will be there. */
    long millisToNext(double perSecond) {
        double missing = Math.max(0, 1 - mTokens);
        return Math.max(1, (long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND));
    }

    /** Returns whether the bucket is as good as a new one. */
    boolean full(double perSecond, int burst, long nowMillis) {
        earn(perSecond, burst, nowMillis);
        return mTokens >= burst;
    }

    private void earn(double perSecond, int burst, long nowMillis) {
        double earned = (nowMillis - mAtMillis) / MILLIS_PER_SECOND * perSecond;
        mTokens = Math.min(burst, mTokens + earned);
        mAtMillis = nowMillis;
    }
}
