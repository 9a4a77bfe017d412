package io.rhubarbward.membership;

import java.util.Map;

/** Another router as this one sees it: its address, its incarnation and its status. */
final class Member {
    private static final long UNKNOWN_INCARNATION = 0;

    private Peer mPeer;
    private boolean mListed;
    private boolean mLeaving;
    private MemberStatus mStatus = MemberStatus.UNHEARD;
    private long mIncarnation = UNKNOWN_INCARNATION;
    private long mLastDirectMillis;
    private long mLastEvidenceMillis;
    private final FlapDamping mFlapDamping = new FlapDamping();

    /**
     * Creates a member that was not heard yet.
     *
     * <p>The time without heartbeat counts from now, so that it is not considered dead at once.
     */
    Member(Peer peer, long nowMillis) {
        mPeer = peer;
        restartSilenceTimer(nowMillis);
    }

    Peer peer() {
        return mPeer;
    }

    MemberStatus status() {
        return mStatus;
    }

    boolean mayOwnKeys() {
        return mStatus.mayOwnKeys() && !mLeaving;
    }

    boolean leaving() {
        return mLeaving;
    }

    boolean removable() {
        return !mListed && mStatus == MemberStatus.DEAD;
    }

    boolean listed() {
        return mListed;
    }

    /**
     * Returns the time of the last evidence that the member ran: its own message or another
     * router's report. At the earliest this is when the member was created or its silence timer
     * restarted.
     */
    long lastEvidenceMillis() {
        return mLastEvidenceMillis;
    }

    /** Returns when its own last message was received, or its silence timer restarted. */
    long lastDirectMillis() {
        return mLastDirectMillis;
    }

    void markListed(Peer peer, boolean leaving) {
        mPeer = peer;
        mListed = true;
        mLeaving = leaving;
    }

    void markUnlisted() {
        mListed = false;
    }

    /** Resets the time without heartbeat to zero, as after a pause of this process. */
    void restartSilenceTimer(long nowMillis) {
        mLastDirectMillis = nowMillis;
        mLastEvidenceMillis = nowMillis;
    }

    /**
     * Records a message of the member itself; returns whether its process has restarted.
     *
     * <p>Ignores messages of an older incarnation.
     */
    boolean recordHeard(long incarnation, long nowMillis) {
        if (incarnation < mIncarnation) {
            return false;
        }
        boolean restarted = mIncarnation != UNKNOWN_INCARNATION && incarnation > mIncarnation;
        mIncarnation = incarnation;
        mLastDirectMillis = nowMillis;
        recordEvidence(nowMillis, nowMillis);
        return restarted;
    }

    /** Records that the member ran at the time, as it or another router reported. */
    void recordEvidence(long atMillis, long nowMillis) {
        mLastEvidenceMillis = Math.max(mLastEvidenceMillis, atMillis);
        if (mStatus == MemberStatus.DEAD) {
            mFlapDamping.recordReturn(nowMillis);
        }
        mStatus = mFlapDamping.isHeldDown(nowMillis) ? MemberStatus.HELD_DOWN : MemberStatus.LIVE;
    }

    /** Updates the status from the time since the last evidence that the member ran. */
    void updateStatus(long nowMillis, long suspectAfterMillis, long deadAfterMillis) {
        long silenceMillis = nowMillis - mLastEvidenceMillis;
        if (silenceMillis >= deadAfterMillis) {
            mStatus = MemberStatus.DEAD;
        } else if (mStatus == MemberStatus.LIVE && silenceMillis >= suspectAfterMillis) {
            mStatus = MemberStatus.SUSPECT;
        } else if (mStatus == MemberStatus.HELD_DOWN
                && silenceMillis < suspectAfterMillis
                && !mFlapDamping.isHeldDown(nowMillis)) {
            mStatus = MemberStatus.LIVE;
        }
    }

    Object state(long nowMillis) {
        return Map.of(
                "status", mStatus,
                "dataCentre", mPeer.dataCentre(),
                "listed", mListed,
                "leaving", mLeaving,
                "incarnation", mIncarnation,
                "heardMillisAgo", nowMillis - mLastDirectMillis,
                "evidenceMillisAgo", nowMillis - mLastEvidenceMillis);
    }
}
