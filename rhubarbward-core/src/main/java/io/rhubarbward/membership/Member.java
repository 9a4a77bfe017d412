package io.rhubarbward.membership;

import java.util.Map;

/** What this router knows of another one: a few dozen bytes. */
final class Member {
    private static final long UNKNOWN_INCARNATION = 0;

    private Peer mPeer;
    private boolean mListed;
    private boolean mLeaving;
    private MemberStatus mStatus = MemberStatus.UNHEARD;
    private long mIncarnation = UNKNOWN_INCARNATION;
    private long mDirectMillis;
    private long mEvidenceMillis;
    private final FlapDamping mDamping = new FlapDamping();

    /** A member not heard yet; the time counts as if it had been heard, to give it a chance. */
    Member(Peer peer, long nowMillis) {
        mPeer = peer;
        grace(nowMillis);
    }

    Peer peer() {
        return mPeer;
    }

    MemberStatus status() {
        return mStatus;
    }

    boolean owns() {
        return mStatus.owns() && !mLeaving;
    }

    boolean leaving() {
        return mLeaving;
    }

    boolean forgettable() {
        return !mListed && mStatus == MemberStatus.DEAD;
    }

    boolean listed() {
        return mListed;
    }

    /** Returns when the member was last known to run, by its own word or by others'. */
    long evidenceMillis() {
        return mEvidenceMillis;
    }

    /** Returns when its own last heartbeat came. */
    long directMillis() {
        return mDirectMillis;
    }

    void list(Peer peer, boolean leaving) {
        mPeer = peer;
        mListed = true;
        mLeaving = leaving;
    }

    void unlist() {
        mListed = false;
    }

    /** Starts to count silence anew, as after a pause of this process. */
    void grace(long nowMillis) {
        mDirectMillis = nowMillis;
        mEvidenceMillis = nowMillis;
    }

    /** Takes its own word; returns whether its process is another than before. */
    boolean heard(long incarnation, long nowMillis) {
        if (incarnation < mIncarnation) {
            return false;
        }
        boolean restarted = mIncarnation != UNKNOWN_INCARNATION && incarnation > mIncarnation;
        mIncarnation = incarnation;
        mDirectMillis = nowMillis;
        evidence(nowMillis, nowMillis);
        return restarted;
    }

    /** Takes the word of others that it ran at the time. */
    void evidence(long atMillis, long nowMillis) {
        mEvidenceMillis = Math.max(mEvidenceMillis, atMillis);
        if (mStatus == MemberStatus.DEAD) {
            mDamping.returned(nowMillis);
        }
        mStatus = mDamping.holds(nowMillis) ? MemberStatus.HELD_DOWN : MemberStatus.LIVE;
    }

    /** Judges its silence. */
    void judge(long nowMillis, long suspectMillis, long deadMillis) {
        long silence = nowMillis - mEvidenceMillis;
        if (silence >= deadMillis) {
            mStatus = MemberStatus.DEAD;
        } else if (mStatus == MemberStatus.LIVE && silence >= suspectMillis) {
            mStatus = MemberStatus.SUSPECT;
        } else if (mStatus == MemberStatus.HELD_DOWN
                && silence < suspectMillis
                && !mDamping.holds(nowMillis)) {
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
                "heardMillisAgo", nowMillis - mDirectMillis,
                "evidenceMillisAgo", nowMillis - mEvidenceMillis);
    }
}
