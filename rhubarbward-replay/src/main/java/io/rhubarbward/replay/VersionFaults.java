package io.rhubarbward.replay;

import io.rhubarbward.hash.RendezvousHash;
import java.util.HashMap;
import java.util.Map;

/** Makes versions fail a share of their requests, and checks that little work goes to them. */
final class VersionFaults {
    private static final int PERMILLE = 1000;
    private static final int VISIBLE_ERRORS = 20;
    private static final long MAX_REACTION_MILLIS = 10_000;
    private static final double MAX_SHARE = 0.1;
    private static final int MIN_REQUESTS_FOR_SHARE = 200;

    private final PromiseChecker mPromises;
    private final Map<String, Fault> mFaultByVersion = new HashMap<>();

    VersionFaults(PromiseChecker promises) {
        mPromises = promises;
    }

    /** Makes the version fail the given number of each thousand requests from now on. */
    void turnsBad(String version, int errorPermille) {
        mFaultByVersion.put(version, new Fault(errorPermille));
    }

    /** Counts a request that starts on a server of the version; returns whether it fails. */
    boolean fails(String version, String id, long nowMillis) {
        mFaultByVersion.forEach((badVersion, fault) -> fault.mAllRequests++);
        Fault fault = mFaultByVersion.get(version);
        if (fault == null) {
            return false;
        }
        fault.mRequestsOnVersion++;
        boolean fails = Math.floorMod(RendezvousHash.hash(id), PERMILLE) < fault.mErrorPermille;
        checkContained(version, fault, nowMillis);
        if (fails && ++fault.mErrors == VISIBLE_ERRORS) {
            fault.mVisibleSinceMillis = nowMillis;
        }
        return fails;
    }

    private void checkContained(String version, Fault fault, long nowMillis) {
        boolean smallShare =
                fault.mAllRequests < MIN_REQUESTS_FOR_SHARE
                        || fault.mRequestsOnVersion <= MAX_SHARE * fault.mAllRequests;
        boolean inReactionTime = nowMillis <= fault.mVisibleSinceMillis + MAX_REACTION_MILLIS;
        mPromises.check(
                Promise.BAD_VERSION_CONTAINED,
                smallShare && inReactionTime,
                () ->
                        version
                                + " got "
                                + fault.mRequestsOnVersion
                                + " of "
                                + fault.mAllRequests
                                + " requests, faults shown at "
                                + fault.mVisibleSinceMillis);
    }

    /** The error rate of a version, and the requests counted since it began to fail. */
    private static final class Fault {
        private final int mErrorPermille;
        // On servers of any version or service.
        private long mAllRequests;
        private long mRequestsOnVersion;
        private int mErrors;
        private long mVisibleSinceMillis = Long.MAX_VALUE - MAX_REACTION_MILLIS;

        Fault(int errorPermille) {
            mErrorPermille = errorPermille;
        }
    }
}
