package io.rhubarbward.request.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The crashes and the trial run of a request that was in flight when an engine crashed. */
final class SuspectRequest {
    /** Number of crashes from which a request is refused. */
    static final int MAX_CRASHES = 2;

    private final List<Crash> mCrashes = new ArrayList<>();
    private long mExpiryMillis;
    private @Nullable String mTrialVm;
    private long mTrialExpiryMillis;

    void addCrash(Crash crash, long expiryMillis) {
        if (mCrashes.stream().noneMatch(crash::sameCrashAs)) {
            mCrashes.add(crash);
            mExpiryMillis = expiryMillis;
        }
    }

    List<Crash> crashes() {
        return mCrashes;
    }

    boolean quarantined() {
        return mCrashes.size() >= MAX_CRASHES;
    }

    boolean expired(long nowMillis) {
        return nowMillis >= mExpiryMillis;
    }

    long remainingMillis(long nowMillis) {
        return mExpiryMillis - nowMillis;
    }

    void beginTrial(String vm, long expiryMillis) {
        mTrialVm = vm;
        mTrialExpiryMillis = expiryMillis;
    }

    /** Ends the trial if the router on this VM is the one that runs it. */
    void endTrial(String vm) {
        if (vm.equals(mTrialVm)) {
            mTrialVm = null;
        }
    }

    boolean onTrial(long nowMillis) {
        return mTrialVm != null && nowMillis < mTrialExpiryMillis;
    }

    boolean onTrialAt(String vm, long nowMillis) {
        return onTrial(nowMillis) && vm.equals(mTrialVm);
    }
}
