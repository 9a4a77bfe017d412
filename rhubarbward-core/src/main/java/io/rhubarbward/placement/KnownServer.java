package io.rhubarbward.placement;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.ListedServer;
import java.time.Duration;

/** What this router believes of one life of one backend server. */
public final class KnownServer {
    /**
     * Window of the bound on a cold server's requests, a little over the second it is stated in.
     */
    private static final long COLD_WINDOW_MILLIS = 1100;

    /** Age from which a reported load says nothing any more. */
    private static final long REPORT_LIFE_MILLIS = 2500;

    /** Age up to which a report may know of requests that other routers have not told yet. */
    private static final long NEW_REPORT_MILLIS = 300;

    /** Load assumed for each of this router's own requests while there is no fresh report. */
    private static final int UNREPORTED_FACTOR = 3;

    /** Age from which what other routers told says nothing any more. */
    private static final long OTHERS_LIFE_MILLIS = 1500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ServerHealth mHealth = new ServerHealth();
    private final SlidingCount mRecentSends = new SlidingCount(COLD_WINDOW_MILLIS);
    private ListedServer mEntry;
    private long mColdUntilMillis;
    private int mInFlight;
    private ServerLoad mReport;
    private long mReportedMillis = NEVER;
    private int mSinceReport;
    private int mOthers;
    private long mOthersMillis = NEVER;

    KnownServer(ListedServer entry, long nowMillis) {
        mEntry = entry;
        mColdUntilMillis = nowMillis + entry.coldRemaining().toMillis();
        mReport = new ServerLoad(0, 0, entry.slots());
    }

    void update(ListedServer entry, long nowMillis) {
        mEntry = entry;
        mColdUntilMillis = nowMillis + entry.coldRemaining().toMillis();
    }

    /** Returns its id, service, data centre, address and version. */
    public BackendServer server() {
        return mEntry.server();
    }

    /** Returns its entry in the directory. */
    public ListedServer entry() {
        return mEntry;
    }

    /** Returns how many requests of this router's it has now. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns how many requests other routers have told that they have there. */
    public double others() {
        return mOthers;
    }

    void others(int inFlight, long nowMillis) {
        mOthers = inFlight;
        mOthersMillis = nowMillis;
    }

    /** Returns the share of this router's recent requests that failed there. */
    public double failureRate() {
        return mHealth.failureRate();
    }

    boolean usable(long nowMillis) {
        return !mEntry.draining() && !mHealth.suspended(nowMillis);
    }

    boolean avoided(long nowMillis) {
        return mHealth.avoided(nowMillis);
    }

    boolean cold(long nowMillis) {
        return nowMillis < mColdUntilMillis;
    }

    /** Treats the server as cold for a while, unless it is for longer anyway. */
    void suspectCold(long nowMillis, Duration coldStart) {
        mColdUntilMillis = Math.max(mColdUntilMillis, nowMillis + coldStart.toMillis());
    }

    int recentSends(long nowMillis) {
        return mRecentSends.count(nowMillis);
    }

    void sent(long nowMillis) {
        mInFlight++;
        mSinceReport++;
        mRecentSends.add(nowMillis);
    }

    /** Notes that a request has ended there. */
    public void ended(SendResult result, long nowMillis) {
        mInFlight--;
        mSinceReport--;
        mHealth.note(result, nowMillis);
    }

    /** Notes what the server said of its load. */
    public void reported(ServerLoad load, long nowMillis) {
        mReport = load;
        mReportedMillis = nowMillis;
        mSinceReport = 0;
    }

    /**
     * Returns how many requests it is believed to hold: this router's own and what the others told,
     * or, while they tell nothing, the server's last report and what this router has sent and got
     * back since, or, without a fresh report, a multiple of this router's own.
     */
    double load(long nowMillis, int routers) {
        if (nowMillis - mOthersMillis < OTHERS_LIFE_MILLIS) {
            return Math.max((double) mInFlight + mOthers, justReported(nowMillis));
        }
        if (nowMillis - mReportedMillis > REPORT_LIFE_MILLIS) {
            return (double) mInFlight * Math.min(routers, UNREPORTED_FACTOR);
        }
        return Math.max(mInFlight, mReport.running() + mReport.waiting() + mSinceReport);
    }

    private double justReported(long nowMillis) {
        return nowMillis - mReportedMillis < NEW_REPORT_MILLIS
                ? mReport.running() + mReport.waiting() + mSinceReport
                : 0;
    }

    int slots() {
        return Math.max(1, mEntry.slots());
    }
}
