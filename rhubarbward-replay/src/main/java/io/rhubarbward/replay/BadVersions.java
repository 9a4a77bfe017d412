package io.rhubarbward.replay;

import io.rhubarbward.hash.RendezvousHash;
import java.util.HashMap;
import java.util.Map;

/** The truth about versions that fail, and the check that they are contained. */
final class BadVersions {
    private static final int PERMILLE = 1000;
    private static final int SHOWN_FAULTS = 20;
    private static final long SOON_MILLIS = 10_000;
    private static final double SMALL_SHARE = 0.1;
    private static final int LEAST_REQUESTS = 200;

    private final PromiseLog mPromises;
    private final Map<String, Fault> mFaults = new HashMap<>();

    BadVersions(PromiseLog promises) {
        mPromises = promises;
    }

    /** From now on the version fails so many of a thousand requests. */
    void turnsBad(String version, int errorPermille) {
        mFaults.put(version, new Fault(errorPermille));
    }

    /** Notes a request for a service with a bad version; returns whether it fails. */
    boolean start(String version, String id, long nowMillis) {
        mFaults.forEach((bad, fault) -> fault.mRequests++);
        Fault fault = mFaults.get(version);
        if (fault == null) {
            return false;
        }
        fault.mOnVersion++;
        boolean fails = Math.floorMod(RendezvousHash.hash(id), PERMILLE) < fault.mErrorPermille;
        check(version, fault, nowMillis);
        if (fails && ++fault.mErrors == SHOWN_FAULTS) {
            fault.mShownMillis = nowMillis;
        }
        return fails;
    }

    private void check(String version, Fault fault, long nowMillis) {
        boolean small =
                fault.mRequests < LEAST_REQUESTS
                        || fault.mOnVersion <= SMALL_SHARE * fault.mRequests;
        boolean noneSoon = nowMillis <= fault.mShownMillis + SOON_MILLIS;
        mPromises.check(
                Promise.BAD_VERSION_CONTAINED,
                small && noneSoon,
                () ->
                        version
                                + " got "
                                + fault.mOnVersion
                                + " of "
                                + fault.mRequests
                                + " requests, faults shown at "
                                + fault.mShownMillis);
    }

    /** How a version fails, and what it was given since. */
    private static final class Fault {
        private final int mErrorPermille;
        private long mRequests;
        private long mOnVersion;
        private int mErrors;
        private long mShownMillis = Long.MAX_VALUE - SOON_MILLIS;

        Fault(int errorPermille) {
            mErrorPermille = errorPermille;
        }
    }
}
