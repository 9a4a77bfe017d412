package io.rhubarbward.placement;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.hash.RendezvousHash;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The load, health and cold-start state that this router tracks for one incarnation of a backend
 * server.
 */
public final class TrackedServer {
    /**
     * Window in which requests to a cold server are counted; slightly longer than the one second in
     * which the limit is stated.
     */
    private static final long COLD_LIMIT_WINDOW_MILLIS = 1100;

    /**
     * Window in which requests are counted against the limit that a server states, over which a
     * burst may even out.
     */
    static final long LIMIT_WINDOW_MILLIS = 4000;

    /** Age above which a server's load report is ignored. */
    private static final long REPORT_MAX_AGE_MILLIS = 2500;

    /**
     * Age below which a load report may include requests that other routers have not announced yet.
     */
    private static final long RECENT_REPORT_MAX_AGE_MILLIS = 300;

    /**
     * Without a usable load report, the total load is assumed to be this router's own in-flight
     * requests times the number of routers, at most times this factor.
     */
    private static final int MAX_UNREPORTED_LOAD_FACTOR = 3;

    /** Time constant of the average for requests that may go anywhere: about a slow interval. */
    private static final double SHORT_AVERAGE_MILLIS = 500;

    private static final long SHORT_MAX_FIGURE_MILLIS = 500;

    /** Time constant of the average for requests with a home: about as long as a stream runs. */
    private static final double LASTING_AVERAGE_MILLIS = 3000;

    /**
     * Half a slow interval: two figures within one interval stand for no more than its length, or
     * intervals would look as if they lasted.
     */
    private static final long LASTING_MAX_FIGURE_MILLIS = 300;

    /** Bounds of the pace: small services have too few servers for a steadier mean. */
    private static final double MIN_PACE = 0.5;

    private static final double MAX_PACE = 4;

    /** Age above which the in-flight counts of other routers are ignored. */
    static final long OTHERS_MAX_AGE_MILLIS = 1500;

    /** Half the minimum, so that subtracting it from a time cannot overflow. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final ServerHealth mHealth = new ServerHealth();
    private final SlidingWindowCounter mRecentSends =
            new SlidingWindowCounter(COLD_LIMIT_WINDOW_MILLIS);
    private final SlidingWindowCounter mLimitWindowSends =
            new SlidingWindowCounter(LIMIT_WINDOW_MILLIS);
    private final StatedLimit mLimit = new StatedLimit();
    private final SlowdownAverage mShortSlowdown =
            new SlowdownAverage(SHORT_AVERAGE_MILLIS, SHORT_MAX_FIGURE_MILLIS);
    private final SlowdownAverage mLastingSlowdown =
            new SlowdownAverage(LASTING_AVERAGE_MILLIS, LASTING_MAX_FIGURE_MILLIS);
    private final ResponseTimeAverage mResponseTime = new ResponseTimeAverage();
    private final PaceChangeDetector mPaceChange = new PaceChangeDetector();
    private final ServerStatements mStatements;
    private final int mHash;
    private final long mNameHash;
    private ListedServer mEntry;
    private boolean mUnlisted;
    private long mColdUntilMillis;

    /** When this router began to treat the server as cold by itself, and until when it does. */
    private long mTreatedAsColdMillis = NEVER_MILLIS;

    private long mTreatedAsColdUntilMillis = NEVER_MILLIS;
    private long mHeardMillis;
    private long mShedMillis = NEVER_MILLIS;
    private int mInFlight;
    private ServerLoad mReportedLoad;
    private long mReportedMillis = NEVER_MILLIS;
    private int mInFlightChangeSinceReport;
    private int mInFlightFromOthers;
    private int mLimitWindowSendsFromOthers;
    private long mOthersUpdatedMillis = NEVER_MILLIS;

    TrackedServer(ListedServer entry, ServerStatements statements, long nowMillis) {
        mHash = hash(entry.id());
        mNameHash = RendezvousHash.hash(entry.server().name());
        mStatements = statements;
        mEntry = entry;
        mColdUntilMillis = nowMillis + entry.coldRemaining().toMillis();
        mReportedLoad = new ServerLoad(0, 0, entry.slots());
    }

    void update(ListedServer entry, long nowMillis) {
        mEntry = entry;
        mColdUntilMillis = nowMillis + entry.coldRemaining().toMillis();
        mTreatedAsColdUntilMillis = NEVER_MILLIS;
    }

    /** Returns the server's id, service, data centre, address and version. */
    public BackendServer server() {
        return mEntry.server();
    }

    /** Returns a 32-bit hash of the server's id, which names it in messages between routers. */
    public int hash() {
        return mHash;
    }

    /** Returns the 64-bit hash of the server's name, by which rendezvous hashing orders servers. */
    long nameHash() {
        return mNameHash;
    }

    /** Returns the {@link #hash()} of the server with the id. */
    public static int hash(String serverId) {
        return (int) RendezvousHash.hash(serverId);
    }

    /** Returns a hash that names this incarnation of the server, the same at every router. */
    public long incarnation() {
        return incarnation(mEntry);
    }

    /** Returns the {@link #incarnation()} of the server with the entry. */
    static long incarnation(ListedServer entry) {
        return RendezvousHash.hash(entry.id() + '/' + entry.startedAtMillis());
    }

    /** Returns the server's directory entry. */
    public ListedServer entry() {
        return mEntry;
    }

    /** Records that the server has left the directory. */
    void unlist() {
        mUnlisted = true;
    }

    /** Returns whether the server shuts down by plan or has left: it may end its connections. */
    public boolean leaving() {
        return mUnlisted || mEntry.draining() || mStatements.leaving();
    }

    /**
     * Records that the server says in an answer that it shuts down; returns whether that is new.
     */
    boolean sayLeaving() {
        return mStatements.sayLeaving();
    }

    /** Records that the server wants no request from this router for a time. */
    void askForRest(Duration rest, long nowMillis) {
        mStatements.askForRest(rest, nowMillis);
    }

    /** Returns how much longer the server wants no request from this router; 0 if it takes them. */
    long restMillis(long nowMillis) {
        return mStatements.restMillis(nowMillis);
    }

    /** Returns the number of this router's requests that are in flight to the server. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the last known number of requests in flight to the server from other routers. */
    public double inFlightFromOthers() {
        return mInFlightFromOthers;
    }

    void updateInFlightFromOthers(int inFlight, long nowMillis) {
        mInFlightFromOthers = inFlight;
        mOthersUpdatedMillis = nowMillis;
    }

    /** Records that a part of an answer of the server has arrived. */
    public void recordHeard(long nowMillis) {
        mHeardMillis = nowMillis;
    }

    /** Returns when a part of an answer of the server arrived last; 0 if none did. */
    public long heardMillis() {
        return mHeardMillis;
    }

    /** Returns the exponentially weighted share of this router's requests that failed. */
    public double failureRate() {
        return mHealth.failureRate();
    }

    boolean usable(long nowMillis) {
        return !leaving() && restMillis(nowMillis) == 0 && !mHealth.suspended(nowMillis);
    }

    boolean avoided(long nowMillis) {
        return mHealth.avoided(nowMillis);
    }

    /** Returns whether the server is slow since it has just started. */
    public boolean cold(long nowMillis) {
        return nowMillis < Math.max(mColdUntilMillis, mTreatedAsColdUntilMillis);
    }

    /** Treats the server as cold for at least the given time from now. */
    void treatAsCold(long nowMillis, Duration coldStart) {
        mTreatedAsColdMillis = nowMillis;
        mTreatedAsColdUntilMillis =
                Math.max(mTreatedAsColdUntilMillis, nowMillis + coldStart.toMillis());
    }

    /** Forgets what failures since the time made this router believe of the server. */
    void forgetFailuresSince(long sinceMillis) {
        mHealth.forgetFailuresSince(sinceMillis);
        if (mTreatedAsColdMillis >= sinceMillis) {
            mTreatedAsColdUntilMillis = NEVER_MILLIS;
        }
    }

    int recentSends(long nowMillis) {
        return mRecentSends.count(nowMillis);
    }

    void recordSend(long nowMillis) {
        mInFlight++;
        mInFlightChangeSinceReport++;
        mRecentSends.add(nowMillis);
        mLimitWindowSends.add(nowMillis);
    }

    /** Records the result of a request to the server, which is no longer in flight. */
    public void recordResult(SendResult result, long nowMillis) {
        mInFlight--;
        mInFlightChangeSinceReport--;
        recordHealth(result, nowMillis);
    }

    /** Records what a result says of the server's health. */
    void recordHealth(SendResult result, long nowMillis) {
        if (result == SendResult.SHED) {
            mShedMillis = nowMillis;
        }
        mHealth.record(result, nowMillis);
    }

    /** Records the load that the server reported. */
    public void recordLoad(ServerLoad load, long nowMillis) {
        mReportedLoad = load;
        mReportedMillis = nowMillis;
        mInFlightChangeSinceReport = 0;
    }

    /** Records the slowdown that the server states. */
    void recordSlowdown(double slowdown, long nowMillis) {
        mShortSlowdown.add(slowdown, nowMillis);
        mLastingSlowdown.add(slowdown, nowMillis);
    }

    /** Returns the stated slowdown of about the last slow interval; 1 without recent figures. */
    double shortSlowdown(long nowMillis) {
        return mShortSlowdown.value(nowMillis);
    }

    /** Returns the stated slowdown over several seconds; 1 without recent figures. */
    double lastingSlowdown(long nowMillis) {
        return mLastingSlowdown.value(nowMillis);
    }

    /** Records how long the server took to respond. */
    void recordResponseTime(long millis, long nowMillis) {
        mResponseTime.add(millis, nowMillis);
    }

    /** Returns the average response time; empty with too few recent responses. */
    OptionalDouble responseMillis(long nowMillis) {
        return mResponseTime.millis(nowMillis);
    }

    /**
     * Returns the server's response time as a multiple of the mean of its service's servers; 1 with
     * too few recent responses.
     */
    double pace(OptionalDouble meanMillis, long nowMillis) {
        OptionalDouble own = responseMillis(nowMillis);
        return own.isEmpty() || meanMillis.isEmpty() || meanMillis.getAsDouble() <= 0
                ? 1
                : Math.min(
                        MAX_PACE, Math.max(MIN_PACE, own.getAsDouble() / meanMillis.getAsDouble()));
    }

    /** Returns whether the server has become slow, or is no longer slow, by this slowdown. */
    boolean paceChanged(double slowdown, long nowMillis) {
        return mPaceChange.update(slowdown, nowMillis);
    }

    /** Returns the requests a second that the server takes from all routers; empty if unlimited. */
    OptionalDouble limitPerSecond() {
        return mLimit.perSecond();
    }

    /** Returns the time since the server last declined a request for want of room. */
    long millisSinceShed(long nowMillis) {
        return nowMillis - mShedMillis;
    }

    void recordLimit(OptionalDouble stated, long nowMillis) {
        mLimit.hear(stated, nowMillis);
    }

    /** Returns what other routers must know of the server's limit; empty if it has none. */
    public Optional<LimitObservation> limitObservation(long nowMillis) {
        return mLimit.reported(nowMillis)
                ? Optional.of(mLimit.observation(mLimitWindowSends.count(nowMillis), nowMillis))
                : Optional.empty();
    }

    void updateLimitFromOthers(LimitObservation others, long nowMillis) {
        mLimit.tell(others, nowMillis);
        mLimitWindowSendsFromOthers = others.sends();
    }

    /** Returns whether the other routers tell what they send to the server. */
    boolean knowsOthers(long nowMillis) {
        return nowMillis - mOthersUpdatedMillis < OTHERS_MAX_AGE_MILLIS;
    }

    /** Returns the requests that this router sent in the window of the limit. */
    int limitWindowSends(long nowMillis) {
        return mLimitWindowSends.count(nowMillis);
    }

    /** Returns the requests that the other routers sent in the window of the limit. */
    int limitWindowSendsFromOthers() {
        return mLimitWindowSendsFromOthers;
    }

    /**
     * Estimates the number of requests at the server.
     *
     * <p>While other routers announce their in-flight counts, the estimate is their sum and this
     * router's own, or a very recent load report if that is higher. Otherwise it is the last load
     * report, adjusted by this router's sends and results since then. Without a usable report, it
     * is a multiple of this router's own in-flight requests.
     */
    double estimatedLoad(long nowMillis, int routers) {
        if (knowsOthers(nowMillis)) {
            return Math.max((double) mInFlight + mInFlightFromOthers, recentReport(nowMillis));
        }
        if (nowMillis - mReportedMillis > REPORT_MAX_AGE_MILLIS) {
            return (double) mInFlight * Math.min(routers, MAX_UNREPORTED_LOAD_FACTOR);
        }
        return Math.max(
                mInFlight,
                mReportedLoad.running() + mReportedLoad.waiting() + mInFlightChangeSinceReport);
    }

    /** Returns what all routers have in flight; without news of the others, what this one has. */
    double knownInFlight(long nowMillis) {
        return knowsOthers(nowMillis) ? (double) mInFlight + mInFlightFromOthers : mInFlight;
    }

    private double recentReport(long nowMillis) {
        return nowMillis - mReportedMillis < RECENT_REPORT_MAX_AGE_MILLIS
                ? mReportedLoad.running() + mReportedLoad.waiting() + mInFlightChangeSinceReport
                : 0;
    }

    int slots() {
        return Math.max(1, mEntry.slots());
    }
}
