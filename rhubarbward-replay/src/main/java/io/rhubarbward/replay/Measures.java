package io.rhubarbward.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The users' measures, taken while a replay runs. */
final class Measures {
    private final Set<String> mSeenChats = new HashSet<>();
    private final List<Double> mSkews = new ArrayList<>();
    private final Map<String, Long> mRefusals = new TreeMap<>();
    private long mReturns;
    private long mHits;
    private long mRequests;
    private long mAnswered;
    private long mPeerMessages;
    private long mLargestInForceMillis;

    /** Notes a chat's request that reached a server. */
    void chat(String chat, boolean hit) {
        if (!mSeenChats.add(chat)) {
            mReturns++;
            mHits += hit ? 1 : 0;
        }
    }

    void request() {
        mRequests++;
    }

    void answered() {
        mAnswered++;
    }

    void refused(String code) {
        mRefusals.merge(code, 1L, Long::sum);
    }

    void skew(double largestOverMean) {
        mSkews.add(largestOverMean);
    }

    void peerMessage() {
        mPeerMessages++;
    }

    void inForceAfter(long millis) {
        mLargestInForceMillis = Math.max(mLargestInForceMillis, millis);
    }

    Map<String, Object> table(long platformReads, long platformWrites) {
        Map<String, Object> table = new TreeMap<>();
        table.put("requests", mRequests);
        table.put("answered whole", mAnswered);
        table.put("refused", mRefusals);
        table.put("returning chats' requests", mReturns);
        table.put("reuse", mReturns == 0 ? 0 : (double) mHits / mReturns);
        table.put("skew, median of 1 s windows", quantile(0.5));
        table.put("skew, p99 of 1 s windows", quantile(0.99));
        table.put("peer messages", mPeerMessages);
        table.put("configuration in force, slowest ms", mLargestInForceMillis);
        table.put("platform reads", platformReads);
        table.put("platform writes", platformWrites);
        return table;
    }

    private double quantile(double share) {
        List<Double> sorted = mSkews.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) (share * (sorted.size() - 1)));
    }
}
