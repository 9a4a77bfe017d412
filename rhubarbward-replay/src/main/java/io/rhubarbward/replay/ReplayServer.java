package io.rhubarbward.replay;

import io.rhubarbward.engine.LoadReport;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The truth about one backend server: what it runs, what it holds, and what it can bear. */
final class ReplayServer {
    private static final int CACHED_CHATS = 200;
    private static final int TOKENS_PER_CHAT = 500;

    private final String mName;
    private final int mColdConcurrency;
    private final int mColdCompletions;
    private final int mWarmCompletions;
    private final Map<String, Boolean> mCache = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<ReplayRun> mRunning = new HashSet<>();
    private int mIncarnation = 1;
    private long mServed;

    ReplayServer(String name, int coldConcurrency, int coldCompletions, int warmCompletions) {
        mName = name;
        mColdConcurrency = coldConcurrency;
        mColdCompletions = coldCompletions;
        mWarmCompletions = warmCompletions;
    }

    String name() {
        return mName;
    }

    int running() {
        return mRunning.size();
    }

    /** Returns whether it is in cold start: it has completed little since it began. */
    boolean cold() {
        return mServed < mColdCompletions;
    }

    /** Returns whether it is still on its way from cold to its full load. */
    boolean warming() {
        return mServed < mWarmCompletions;
    }

    /** Returns whether it carries more than a cold server can bear. */
    boolean overloadedCold() {
        return cold() && mRunning.size() > mColdConcurrency;
    }

    /** Takes the run; returns whether the chat's prompt was cached. */
    boolean begin(ReplayRun run, String chat) {
        mRunning.add(run);
        boolean hit = mCache.put(chat, true) != null;
        if (mCache.size() > CACHED_CHATS) {
            mCache.remove(mCache.keySet().iterator().next());
        }
        return hit;
    }

    void end(ReplayRun run, boolean completed) {
        if (mRunning.remove(run) && completed) {
            mServed++;
        }
    }

    /** Begins anew, cold and empty; returns the runs that ended with it. */
    Set<ReplayRun> restart() {
        Set<ReplayRun> lost = Set.copyOf(mRunning);
        mRunning.clear();
        mCache.clear();
        mServed = 0;
        mIncarnation++;
        return lost;
    }

    LoadReport report() {
        return new LoadReport(
                mName + "#" + mIncarnation,
                mRunning.size(),
                0,
                mServed,
                (long) mCache.size() * TOKENS_PER_CHAT);
    }
}
