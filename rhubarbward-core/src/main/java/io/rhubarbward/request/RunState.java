package io.rhubarbward.request;

/** Whether a refused request may have run. */
public enum RunState {
    /** It provably did not run. */
    NOT_RUN("not-run"),
    /** It may have run. */
    UNKNOWN("unknown"),
    /** It ran, once, and its answer is not kept. */
    DONE("done");

    private final String mLabel;

    RunState(String label) {
        mLabel = label;
    }

    /** Returns the state as written in answers. */
    public String label() {
        return mLabel;
    }
}
