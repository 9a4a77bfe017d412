package io.rhubarbward.bench.routing;

import io.rhubarbward.engine.LoadReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** An engine with an LRU prefix cache, whose reports come late. */
final class ReplayEngine {
    private static final long WARM_SERVED = 1_000_000;

    private final String mName;
    private final int mCachedChats;
    private final Deque<Dated> mReports = new ArrayDeque<>();
    private LruCache mCache;
    private long mServed = WARM_SERVED;
    private int mRunning;
    private int mIncarnation;
    private boolean mUp = true;

    ReplayEngine(String name, int cachedChats) {
        mName = name;
        mCachedChats = cachedChats;
        mCache = new LruCache(cachedChats);
    }

    String name() {
        return mName;
    }

    boolean up() {
        return mUp;
    }

    int running() {
        return mRunning;
    }

    int incarnation() {
        return mIncarnation;
    }

    /** Starts a turn of a chat; returns whether its prefix was cached. */
    boolean start(int chat) {
        mRunning++;
        return mCache.touch(chat);
    }

    void finish(int incarnation) {
        if (incarnation == mIncarnation) {
            mRunning--;
            mServed++;
        }
    }

    /** Loses its process, its work and its cache. */
    void stop() {
        mUp = false;
        mIncarnation++;
        mRunning = 0;
        mServed = 0;
        mCache = new LruCache(mCachedChats);
    }

    void begin() {
        mUp = true;
    }

    void record(long now) {
        mReports.addLast(
                new Dated(
                        now,
                        mUp,
                        new LoadReport(
                                Integer.toString(mIncarnation),
                                mRunning,
                                0,
                                mServed,
                                mCache.size())));
    }

    /** Returns the newest report that is at least as old as the lag. */
    Optional<Dated> report(long now, long lagMillis) {
        while (mReports.size() > 1 && second().atMillis() <= now - lagMillis) {
            mReports.removeFirst();
        }
        return Optional.ofNullable(mReports.peekFirst())
                .filter(report -> report.atMillis() <= now - lagMillis);
    }

    private Dated second() {
        return mReports.stream().skip(1).findFirst().orElseThrow();
    }

    /** A report, whether the engine was up to give it, and when. */
    record Dated(long atMillis, boolean up, LoadReport report) {}
}
