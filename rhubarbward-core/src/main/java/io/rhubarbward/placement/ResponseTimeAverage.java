package io.rhubarbward.placement;

import java.util.OptionalDouble;

/** Exponentially weighted moving average of the response times of one plain server. */
final class ResponseTimeAverage {
    private static final double TIME_CONSTANT_MILLIS = 2000;

    /** Window in which the newest responses must lie. */
    private static final long WINDOW_MILLIS = 2000;

    /** Fewer responses say little: the requests of one service differ in size. */
    private static final int MIN_RESPONSES = 5;

    private final SlidingWindowCounter mRecent = new SlidingWindowCounter(WINDOW_MILLIS);
    private double mWeight;
    private double mWeightedMillis;
    private long mUpdatedMillis;

    void add(double responseMillis, long nowMillis) {
        double kept = Math.exp(-(nowMillis - mUpdatedMillis) / TIME_CONSTANT_MILLIS);
        mWeight = mWeight * kept + 1;
        mWeightedMillis = mWeightedMillis * kept + responseMillis;
        mUpdatedMillis = nowMillis;
        mRecent.add(nowMillis);
    }

    /** Returns the average; empty if the recent responses are too few. */
    OptionalDouble millis(long nowMillis) {
        return mRecent.count(nowMillis) < MIN_RESPONSES
                ? OptionalDouble.empty()
                : OptionalDouble.of(mWeightedMillis / mWeight);
    }
}
