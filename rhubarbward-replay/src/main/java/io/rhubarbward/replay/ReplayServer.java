package io.rhubarbward.replay;

import io.rhubarbward.engine.LoadReport;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A simulated backend server: its running requests, its prompt cache and its cold start. */
final class ReplayServer {
    private static final int MAX_CACHED_CHATS = 200;
    private static final int CACHED_TOKENS_PER_CHAT = 500;

    private final String mName;
    private final int mColdConcurrency;
    private final int mColdStartCompletions;
    private final int mFullLoadCompletions;
    private final Map<String, Boolean> mCachedChats = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<ReplayRun> mRunning = new HashSet<>();
    private int mIncarnation = 1;
    private long mCompleted;

    ReplayServer(
            String name, int coldConcurrency, int coldStartCompletions, int fullLoadCompletions) {
        mName = name;
        mColdConcurrency = coldConcurrency;
        mColdStartCompletions = coldStartCompletions;
        mFullLoadCompletions = fullLoadCompletions;
    }

    String name() {
        return mName;
    }

    int running() {
        return mRunning.size();
    }

    /** Returns whether it is in cold start: it has completed few requests since its start. */
    boolean cold() {
        return mCompleted < mColdStartCompletions;
    }

    /** Returns whether it has completed too few requests since its start to take its full load. */
    boolean warming() {
        return mCompleted < mFullLoadCompletions;
    }

    /** Returns whether it is in cold start and runs more requests than it can then carry. */
    boolean overloadedCold() {
        return cold() && mRunning.size() > mColdConcurrency;
    }

    /** Adds the run and caches its chat; returns whether the chat's prompt was cached before. */
    boolean add(ReplayRun run, String chat) {
        mRunning.add(run);
        boolean cacheHit = mCachedChats.put(chat, true) != null;
        if (mCachedChats.size() > MAX_CACHED_CHATS) {
            // Evicts the least recently used chat: the map is in access order.
            mCachedChats.remove(mCachedChats.keySet().iterator().next());
        }
        return cacheHit;
    }

    void remove(ReplayRun run, boolean completed) {
        if (mRunning.remove(run) && completed) {
            mCompleted++;
        }
    }

    /** Restarts the process, cold and with an empty cache; returns the runs that were lost. */
    Set<ReplayRun> restart() {
        Set<ReplayRun> lost = Set.copyOf(mRunning);
        mRunning.clear();
        mCachedChats.clear();
        mCompleted = 0;
        mIncarnation++;
        return lost;
    }

    LoadReport report() {
        return new LoadReport(
                mName + "#" + mIncarnation,
                mRunning.size(),
                0,
                mCompleted,
                (long) mCachedChats.size() * CACHED_TOKENS_PER_CHAT);
    }
}
