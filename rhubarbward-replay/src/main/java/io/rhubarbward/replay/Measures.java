package io.rhubarbward.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counters and samples of a replay that its report shows: refusals, cache reuse, load skew. */
final class Measures {
    private final Set<String> mSeenChats = new HashSet<>();
    private final List<Double> mLoadSkews = new ArrayList<>();
    private final Map<String, Long> mFailuresByReason = new TreeMap<>();
    private long mReturningRequests;
    private long mCacheHits;
    private long mRequests;
    private long mAnsweredRequests;
    private long mPeerMessages;
    private long mMaxInForceDelayMillis;

    /** Counts a chat's request that reached a backend server; a first request has no reuse. */
    void countChatRequest(String chat, boolean cacheHit) {
        if (!mSeenChats.add(chat)) {
            mReturningRequests++;
            mCacheHits += cacheHit ? 1 : 0;
        }
    }

    void countRequest() {
        mRequests++;
    }

    void countAnswered() {
        mAnsweredRequests++;
    }

    /** Counts a request that got no whole answer: refused, failed or cut. */
    void countFailure(String reason) {
        mFailuresByReason.merge(reason, 1L, Long::sum);
    }

    /** Adds the largest load of a window, divided by the mean load of the same window. */
    void addLoadSkew(double largestOverMean) {
        mLoadSkews.add(largestOverMean);
    }

    void countPeerMessage() {
        mPeerMessages++;
    }

    /** Records how long an accepted configuration took to be in force on all routers. */
    void recordInForceDelay(long millis) {
        mMaxInForceDelayMillis = Math.max(mMaxInForceDelayMillis, millis);
    }

    /** Returns the measures as the report lists them, by name. */
    Map<String, Object> byName(long platformReads, long platformWrites) {
        Map<String, Object> measures = new TreeMap<>();
        measures.put("requests", mRequests);
        measures.put("answered whole", mAnsweredRequests);
        measures.put("refused", mFailuresByReason);
        measures.put("returning chats' requests", mReturningRequests);
        measures.put(
                "reuse", mReturningRequests == 0 ? 0 : (double) mCacheHits / mReturningRequests);
        measures.put("skew, median of 1 s windows", skewQuantile(0.5));
        measures.put("skew, p99 of 1 s windows", skewQuantile(0.99));
        measures.put("peer messages", mPeerMessages);
        measures.put("configuration in force, slowest ms", mMaxInForceDelayMillis);
        measures.put("platform reads", platformReads);
        measures.put("platform writes", platformWrites);
        return measures;
    }

    private double skewQuantile(double quantile) {
        List<Double> sorted = mLoadSkews.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) (quantile * (sorted.size() - 1)));
    }
}
