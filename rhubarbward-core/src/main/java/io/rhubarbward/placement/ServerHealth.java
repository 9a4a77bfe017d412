package io.rhubarbward.placement;

/**
 * Outlier detection for one backend server, based on the results of this router's own requests.
 *
 * <p>A failure after which the server may have restarted suspends it; the suspension doubles with
 * each further one until a request succeeds. A server with a high failure rate is avoided while
 * others are available.
 */
final class ServerHealth {
    /** First suspension; doubles with each further one. */
    private static final long MIN_SUSPENSION_MILLIS = 250;

    /** Upper limit of the suspension: a crashed server is back within seconds. */
    private static final long MAX_SUSPENSION_MILLIS = 2000;

    /** Weight of the newest result in the exponentially weighted failure rate. */
    private static final double NEWEST_RESULT_WEIGHT = 0.2;

    /** Failure rate above which a server is avoided while others are available. */
    private static final double AVOIDED_FAILURE_RATE = 0.3;

    /** How long a server is avoided after a failure before it is tried again. */
    private static final long AVOIDED_MILLIS = 1500;

    private double mFailureRate;
    private int mConsecutiveSuspensions;
    private long mSuspendedUntilMillis = Long.MIN_VALUE;
    private long mAvoidedUntilMillis = Long.MIN_VALUE;
    private long mFailedMillis = Long.MIN_VALUE;

    void record(SendResult result, long nowMillis) {
        if (result == SendResult.CANCELLED) {
            return;
        }
        mFailureRate += NEWEST_RESULT_WEIGHT * ((result.failure() ? 1 : 0) - mFailureRate);
        if (result.failure()) {
            mFailedMillis = nowMillis;
        }
        if (result.mayHaveRestarted()) {
            long suspensionMillis = MIN_SUSPENSION_MILLIS << Math.min(mConsecutiveSuspensions, 3);
            mConsecutiveSuspensions++;
            mSuspendedUntilMillis = nowMillis + Math.min(MAX_SUSPENSION_MILLIS, suspensionMillis);
        } else if (!result.failure()) {
            mConsecutiveSuspensions = 0;
        }
        if (result.failure() && mFailureRate > AVOIDED_FAILURE_RATE) {
            mAvoidedUntilMillis = nowMillis + AVOIDED_MILLIS;
        }
    }

    /** Starts afresh if the last failure was seen at the time or later. */
    void forgetFailuresSince(long sinceMillis) {
        if (mFailedMillis >= sinceMillis) {
            mFailureRate = 0;
            mConsecutiveSuspensions = 0;
            mSuspendedUntilMillis = Long.MIN_VALUE;
            mAvoidedUntilMillis = Long.MIN_VALUE;
        }
    }

    boolean suspended(long nowMillis) {
        return nowMillis < mSuspendedUntilMillis;
    }

    boolean avoided(long nowMillis) {
        return nowMillis < mAvoidedUntilMillis;
    }

    double failureRate() {
        return mFailureRate;
    }
}
