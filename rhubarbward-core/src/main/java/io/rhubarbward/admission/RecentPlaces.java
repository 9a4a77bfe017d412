package io.rhubarbward.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Sums places by key over a sliding window of time. */
final class RecentPlaces<K> {
    /** Below it, a sum is only what rounding leaves of places that were added and removed. */
    private static final double MIN_PLACES = 1e-6;

    private final long mWindowMillis;
    private final Deque<Sample<K>> mSamples = new ArrayDeque<>();
    private final Map<K, Double> mSums = new HashMap<>();

    RecentPlaces(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    void add(K key, double places, long nowMillis) {
        removeOld(nowMillis);
        mSamples.addLast(new Sample<>(nowMillis, key, places));
        mSums.merge(key, places, Double::sum);
    }

    /** Returns the places that were added within the window, by key. */
    Map<K, Double> sums(long nowMillis) {
        removeOld(nowMillis);
        return mSums;
    }

    private void removeOld(long nowMillis) {
        while (!mSamples.isEmpty() && mSamples.getFirst().millis() <= nowMillis - mWindowMillis) {
            Sample<K> old = mSamples.removeFirst();
            mSums.computeIfPresent(
                    old.key(),
                    (key, sum) -> sum - old.places() < MIN_PLACES ? null : sum - old.places());
        }
    }

    /** Places that were added at one time. */
    private record Sample<K>(long millis, K key, double places) {}
}
