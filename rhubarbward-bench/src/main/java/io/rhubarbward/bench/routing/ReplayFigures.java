package io.rhubarbward.bench.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** What one replay showed. */
final class ReplayFigures {
    private static final double MEDIAN = 0.5;
    private static final double TAIL = 0.95;

    private final Set<Integer> mSeen = new HashSet<>();
    private final LruCache mBest;
    private final List<Double> mSkews = new ArrayList<>();
    private long mRequests;
    private long mHits;
    private long mBestHits;
    private long mRefused;

    /** Compares with one cache as large as all engines' together. */
    ReplayFigures(int cachedChats) {
        mBest = new LruCache(cachedChats);
    }

    void turn(int chat, boolean counted, boolean served, boolean hit) {
        boolean best = mBest.touch(chat);
        boolean returning = !mSeen.add(chat);
        if (counted) {
            mRequests++;
            mRefused += served ? 0 : 1;
            mBestHits += returning && best ? 1 : 0;
            mHits += returning && hit ? 1 : 0;
        }
    }

    void window(double largest, double mean) {
        if (mean > 0) {
            mSkews.add(largest / mean);
        }
    }

    String row() {
        Collections.sort(mSkews);
        return String.format(
                Locale.ROOT,
                "%.3f | %.2f | %.2f | %d of %d",
                (double) mHits / mBestHits,
                quantile(MEDIAN),
                quantile(TAIL),
                mRefused,
                mRequests);
    }

    private double quantile(double share) {
        return mSkews.get((int) (share * (mSkews.size() - 1)));
    }
}
