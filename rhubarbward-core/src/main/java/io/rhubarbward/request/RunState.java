package io.rhubarbward.request;

/** Whether a refused request may have run. */
public enum RunState {
    /** It certainly did not run. */
    NOT_RUN("not-run"),
    /** It may have run. */
    UNKNOWN("unknown"),
    /** It ran once, and its answer was not kept. */
    DONE("done");

    private final String mLabel;

    RunState(String label) {
        mLabel = label;
    }

    /** Returns the state as it is written in answers. */
    public String label() {
        return mLabel;
    }
}
