package io.rhubarbward.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with jitter between failed calls. */
final class RetryBackoff {
    /** Backoff after the first failed call, before jitter; doubles with each further one. */
    private static final long MIN_MILLIS = 100;

    /**
     * Longest backoff before jitter: short enough to notice the end of an outage well within the
     * two seconds in which live servers list themselves again.
     */
    private static final long MAX_MILLIS = 800;

    private final RandomGenerator mRandom;
    private long mMillis = MIN_MILLIS;

    RetryBackoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns how long to wait after another failed call. */
    Duration next() {
        long millis = mMillis / 2 + mRandom.nextLong(mMillis);
        mMillis = Math.min(MAX_MILLIS, mMillis * 2);
        return Duration.ofMillis(millis);
    }

    /** Starts anew after a call that succeeded. */
    void reset() {
        mMillis = MIN_MILLIS;
    }
}
