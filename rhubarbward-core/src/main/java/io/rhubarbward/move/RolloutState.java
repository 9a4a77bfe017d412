package io.rhubarbward.move;

import io.rhubarbward.event.LogEvent;

/** The state machine of a rollout, and which share of the chats each state lets through. */
public enum RolloutState {
    /** Accepted; the new version gets no work yet. */
    PLANNED(false, false, LogEvent.MOVE_PLANNED) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return 0;
        }
    },
    /** Chats move to the new version stage by stage. */
    RUNNING(false, true, LogEvent.MOVE_STEPPED) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** Like {@link #RUNNING}, but predicted to miss its deadline. */
    LATE(false, true, LogEvent.MOVE_LATE) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** The last stage is reached; the old version's control group is still compared. */
    WATCHING(false, true, LogEvent.MOVE_WATCHING) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** The new version has all work. */
    DONE(true, true, LogEvent.MOVE_DONE) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return Rollout.FULL_SHARE_PERMILLE;
        }
    },
    /** Rolled back: the old version has all work again. */
    TAKEN_BACK(true, false, LogEvent.MOVE_TAKEN_BACK) {
        @Override
        public int effectiveSharePermille(int recordedPermille) {
            return 0;
        }
    };

    private final boolean mTerminal;
    private final boolean mMayFallBackToNewVersion;
    private final LogEvent mEvent;

    RolloutState(boolean terminal, boolean mayFallBackToNewVersion, LogEvent event) {
        mTerminal = terminal;
        mMayFallBackToNewVersion = mayFallBackToNewVersion;
        mEvent = event;
    }

    /** Returns the new version's share of the chats in this state, given the recorded share. */
    public abstract int effectiveSharePermille(int recordedPermille);

    /** Returns whether the rollout has ended and never leaves this state. */
    public boolean terminal() {
        return mTerminal;
    }

    /** Returns whether the new version may serve the old one's chats when the old has no server. */
    public boolean mayFallBackToNewVersion() {
        return mMayFallBackToNewVersion;
    }

    /** Returns the event that the controller logs after it has recorded the state. */
    LogEvent event() {
        return mEvent;
    }

    /** Returns the role that the old version's engines are ordered to take. */
    EngineRole oldVersionRole() {
        return this == DONE ? EngineRole.STANDBY : EngineRole.SERVE;
    }

    /** Returns the role that the new version's engines are ordered to take. */
    EngineRole newVersionRole() {
        return this == TAKEN_BACK ? EngineRole.STANDBY : EngineRole.SERVE;
    }
}
