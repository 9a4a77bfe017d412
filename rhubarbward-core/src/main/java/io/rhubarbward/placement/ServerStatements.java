package io.rhubarbward.placement;

import java.time.Duration;

/**
 * What one incarnation of a backend server has said of itself in its answers to this router.
 *
 * <p>It outlives the server's entry in the directory, which may be out of date, lapse and come
 * back.
 */
final class ServerStatements {
    /** Longest rest that is believed, so that one odd answer does not lose a server for long. */
    private static final long MAX_REST_MILLIS = 300_000;

    private boolean mLeaving;
    private long mRestsUntilMillis = Long.MIN_VALUE;

    /** Records that the server shuts down; returns whether it had not said so before. */
    boolean sayLeaving() {
        boolean isNew = !mLeaving;
        mLeaving = true;
        return isNew;
    }

    boolean leaving() {
        return mLeaving;
    }

    /** Records that the server wants no request for a time; a longer rest from before goes on. */
    void askForRest(Duration rest, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAX_REST_MILLIS, rest.toMillis());
        mRestsUntilMillis = Math.max(mRestsUntilMillis, untilMillis);
    }

    /** Returns how much longer the server rests; 0 if it does not. */
    long restMillis(long nowMillis) {
        return nowMillis >= mRestsUntilMillis ? 0 : mRestsUntilMillis - nowMillis;
    }
}
