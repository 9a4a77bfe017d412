package io.rhubarbward.bench;

import java.util.ArrayDeque;
import java.util.Deque;

/** The simple rule to compare with: the new version's error ratio of the last minute above 5%. */
final class RawRatioRule {
    private static final long WINDOW_MILLIS = 60_000;
    private static final int MIN_CALLS = 20;
    private static final double MAX_RATIO = 0.05;

    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private int mErrors;

    /** Adds a call of the new version; returns whether the rule would take it back. */
    boolean add(boolean error, long nowMillis) {
        mSamples.addLast(new Sample(error, nowMillis));
        mErrors += error ? 1 : 0;
        while (mSamples.getFirst().atMillis() <= nowMillis - WINDOW_MILLIS) {
            mErrors -= mSamples.removeFirst().error() ? 1 : 0;
        }
        return mSamples.size() >= MIN_CALLS && mErrors > MAX_RATIO * mSamples.size();
    }

    /** One call. */
    private record Sample(boolean error, long atMillis) {}
}
