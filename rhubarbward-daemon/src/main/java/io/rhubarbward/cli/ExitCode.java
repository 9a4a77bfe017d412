package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.move.RolloutFailure;

/** The exit statuses of the program, and what each means. */
public enum ExitCode {
    OK(0, "done"),
    FAILED(1, "the program failed"),
    USAGE(2, "the command line is wrong"),
    INVALID_SETTINGS(3, "settings are wrong"),
    CONFLICT(4, "another operator's change came first"),
    PLATFORM(5, "the platform did not carry it out"),
    UNREACHABLE(6, "the process asked did not answer"),
    CUT_REQUESTS(7, "a planned stop had to cut requests"),
    NOT_IN_FORCE(10, "the configuration is not in force everywhere"),
    TAKEN_BACK(20, "the rollout was taken back"),
    LATE(21, "the rollout is late, or predicted to be"),
    NOT_ENDED(22, "the rollout has not ended within the limit"),
    PROMISE_BROKEN(30, "a replay broke a promise");

    private final int mStatus;
    private final String mMeaning;

    ExitCode(int status, String meaning) {
        mStatus = status;
        mMeaning = meaning;
    }

    /** Returns the process's exit status. */
    public int status() {
        return mStatus;
    }

    /** Returns the description that the help text shows. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns the exit code for a failed call to the rollout store. */
    static ExitCode of(RolloutFailure failure) {
        boolean isPlatformFailure =
                failure instanceof RolloutFailure.Platform
                        || failure instanceof RolloutFailure.Corrupt;
        return isPlatformFailure ? PLATFORM : CONFLICT;
    }

    /** Returns the exit code for a failed call to the configuration store or an invalid file. */
    static ExitCode of(ConfigFailure failure) {
        if (failure instanceof ConfigFailure.ChangedMeanwhile) {
            return CONFLICT;
        }
        if (failure instanceof ConfigFailure.UnknownDataCentre) {
            return USAGE;
        }
        boolean isPlatformFailure =
                failure instanceof ConfigFailure.Platform
                        || failure instanceof ConfigFailure.Unsettled
                        || failure instanceof ConfigFailure.NothingAccepted
                        || failure instanceof ConfigFailure.NothingToUndo
                        || failure instanceof ConfigFailure.Corrupt;
        return isPlatformFailure ? PLATFORM : INVALID_SETTINGS;
    }
}
