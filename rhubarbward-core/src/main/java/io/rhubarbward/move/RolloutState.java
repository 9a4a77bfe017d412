package io.rhubarbward.move;

import io.rhubarbward.event.LogEvent;

/** Where a rollout stands, and what that allows the new version. */
public enum RolloutState {
    /** Accepted; the new version gets no work yet. */
    PLANNED(false, false, LogEvent.MOVE_PLANNED) {
        @Override
        public int share(int recordedPermille) {
            return 0;
        }
    },
    /** Chats move over stage by stage. */
    RUNNING(false, true, LogEvent.MOVE_STEPPED) {
        @Override
        public int share(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** Like {@link #RUNNING}, but predicted to miss its set time. */
    LATE(false, true, LogEvent.MOVE_LATE) {
        @Override
        public int share(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** The last stage is reached; the old version keeps a control group for the judgement. */
    WATCHING(false, true, LogEvent.MOVE_WATCHING) {
        @Override
        public int share(int recordedPermille) {
            return recordedPermille;
        }
    },
    /** The new version has all work. */
    DONE(true, true, LogEvent.MOVE_DONE) {
        @Override
        public int share(int recordedPermille) {
            return Rollout.WHOLE_PERMILLE;
        }
    },
    /** The old version has all work again. */
    TAKEN_BACK(true, false, LogEvent.MOVE_TAKEN_BACK) {
        @Override
        public int share(int recordedPermille) {
            return 0;
        }
    };

    private final boolean mOver;
    private final boolean mNewMayStandIn;
    private final LogEvent mEvent;

    RolloutState(boolean over, boolean newMayStandIn, LogEvent event) {
        mOver = over;
        mNewMayStandIn = newMayStandIn;
        mEvent = event;
    }

    /** Returns the new version's share of the chats when the record says the given share. */
    public abstract int share(int recordedPermille);

    /** Returns whether nothing more will happen. */
    public boolean over() {
        return mOver;
    }

    /** Returns whether the new version may serve the old one's chats when that has no server. */
    public boolean newVersionMayStandIn() {
        return mNewMayStandIn;
    }

    /** Returns the event that the controller logs when it recorded the state. */
    LogEvent event() {
        return mEvent;
    }

    /** Returns what the old version's engines are ordered to be. */
    EngineRole oldVersionRole() {
        return this == DONE ? EngineRole.STANDBY : EngineRole.SERVE;
    }

    /** Returns what the new version's engines are ordered to be. */
    EngineRole newVersionRole() {
        return this == TAKEN_BACK ? EngineRole.STANDBY : EngineRole.SERVE;
    }
}
