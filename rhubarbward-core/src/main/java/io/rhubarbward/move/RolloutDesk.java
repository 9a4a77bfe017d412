package io.rhubarbward.move;

import io.rhubarbward.move.RolloutJudge.Verdict;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What the controller holds of one rollout that is under way. */
final class RolloutDesk {
    private final RolloutJudge mJudge;
    private final Set<String> mStoppedRouters = new HashSet<>();
    private @Nullable StoredRollout mRecord;
    private @Nullable Verdict mVerdict;
    private long mLateSinceMillis = Long.MAX_VALUE;
    private boolean mBusy;

    RolloutDesk(RolloutJudge judge) {
        mJudge = judge;
    }

    RolloutJudge judge() {
        return mJudge;
    }

    void routerStopped(String vm) {
        mStoppedRouters.add(vm);
    }

    int stoppedRouters() {
        return mStoppedRouters.size();
    }

    Optional<Verdict> verdict() {
        return Optional.ofNullable(mVerdict);
    }

    void condemn(Verdict verdict) {
        mVerdict = verdict;
    }

    /** Returns the record if it is as new as the word. */
    Optional<StoredRollout> record(long version) {
        return Optional.ofNullable(mRecord).filter(record -> record.version() >= version);
    }

    void record(StoredRollout record) {
        mRecord = record;
    }

    /** Returns for how long the rollout has been predicted to be late. */
    long lateMillis(boolean late, long nowMillis) {
        mLateSinceMillis = late ? Math.min(mLateSinceMillis, nowMillis) : Long.MAX_VALUE;
        return late ? nowMillis - mLateSinceMillis : 0;
    }

    boolean busy() {
        return mBusy;
    }

    void busy(boolean busy) {
        mBusy = busy;
    }
}
