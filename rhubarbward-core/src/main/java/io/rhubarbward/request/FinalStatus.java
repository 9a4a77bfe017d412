package io.rhubarbward.request;

/** The statuses that a final answer may have. */
public final class FinalStatus {
    private static final int FIRST = 200;
    private static final int LAST = 599;

    private FinalStatus() {}

    /**
     * Returns whether an answer with this status may be taken for the answer to a request. Any
     * other status shows a server in trouble, whose request may have run.
     */
    public static boolean isValid(int status) {
        return status >= FIRST && status <= LAST;
    }
}
