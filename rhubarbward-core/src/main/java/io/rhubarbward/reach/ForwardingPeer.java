package io.rhubarbward.reach;

import io.rhubarbward.config.BackendServer;

/** Another router through which this one can forward requests. */
public final class ForwardingPeer {
    /** Factor by which the load of a router in another data centre is weighted. */
    private static final double REMOTE_LOAD_FACTOR = 1.3;

    /** Requests added to the weighted load of a router in another data centre. */
    private static final double REMOTE_LOAD_EXTRA_REQUESTS = 2;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final BackendServer mEndpoint;
    private final boolean mLocal;
    private int mInFlight;
    private int mReportedOpen;
    private int mInFlightAtReport;
    private long mWillingMillis = NEVER_MILLIS;

    /**
     * Creates a router that has not been asked yet.
     *
     * @param endpoint where it takes forwarded requests
     * @param local whether it is in this router's data centre
     */
    ForwardingPeer(BackendServer endpoint, boolean local) {
        mEndpoint = endpoint;
        mLocal = local;
    }

    /** Returns the router's VM name. */
    public String name() {
        return mEndpoint.name();
    }

    /** Returns where it takes forwarded requests. */
    public BackendServer endpoint() {
        return mEndpoint;
    }

    /** Records that a request is being forwarded. */
    public void recordSend() {
        mInFlight++;
    }

    /** Records that a forwarded request has ended. */
    public void recordEnd() {
        mInFlight--;
    }

    void recordWilling(int openRequests, long nowMillis) {
        mWillingMillis = nowMillis;
        mReportedOpen = openRequests;
        mInFlightAtReport = mInFlight;
    }

    void recordUnwilling() {
        mWillingMillis = NEVER_MILLIS;
    }

    long willingMillis() {
        return mWillingMillis;
    }

    /** Returns the requests at the router, those of routers far away weighted more. */
    double weightedLoad() {
        int load = Math.max(0, mReportedOpen + mInFlight - mInFlightAtReport);
        return mLocal ? load : load * REMOTE_LOAD_FACTOR + REMOTE_LOAD_EXTRA_REQUESTS;
    }
}
