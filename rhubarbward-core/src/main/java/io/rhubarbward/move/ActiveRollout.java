package io.rhubarbward.move;

import io.rhubarbward.move.RolloutJudge.Verdict;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The controller's working state for one active rollout. */
final class ActiveRollout {
    private final RolloutJudge mJudge;
    private final Set<String> mStoppedRouters = new HashSet<>();
    private @Nullable StoredRollout mRecord;
    private @Nullable Verdict mVerdict;
    private long mPredictedLateSinceMillis = Long.MAX_VALUE;
    private boolean mCallPending;

    ActiveRollout(RolloutJudge judge) {
        mJudge = judge;
    }

    RolloutJudge judge() {
        return mJudge;
    }

    void routerStopped(String vm) {
        mStoppedRouters.add(vm);
    }

    int stoppedRouterCount() {
        return mStoppedRouters.size();
    }

    Optional<Verdict> verdict() {
        return Optional.ofNullable(mVerdict);
    }

    void verdict(Verdict verdict) {
        mVerdict = verdict;
    }

    /** Returns the last record read or written if it has at least the given version. */
    Optional<StoredRollout> record(long version) {
        return Optional.ofNullable(mRecord).filter(record -> record.version() >= version);
    }

    void record(StoredRollout record) {
        mRecord = record;
    }

    /**
     * Notes the present prediction; returns how long lateness has been predicted without a break.
     */
    long predictedLateMillis(boolean late, long nowMillis) {
        mPredictedLateSinceMillis =
                late ? Math.min(mPredictedLateSinceMillis, nowMillis) : Long.MAX_VALUE;
        return late ? nowMillis - mPredictedLateSinceMillis : 0;
    }

    boolean callPending() {
        return mCallPending;
    }

    void callPending(boolean callPending) {
        mCallPending = callPending;
    }
}
