package io.rhubarbward.placement;

/** The outcome of sending a request to a backend server, as a signal of the server's health. */
public enum SendResult {
    /** The server answered with a status below 500. */
    ANSWERED(false, false),
    /** The server answered with an error, such as a status of 500 or above. */
    SERVER_ERROR(true, false),
    /** The server declined the request without running it, usually because it is overloaded. */
    SHED(true, false),
    /**
     * The server declined the request without running it, and asked to be left alone for a time.
     */
    RESTING(false, false),
    /** No connection could be established. */
    UNREACHABLE(true, true),
    /** The connection ended before the answer began. */
    RESET(true, true),
    /** The answer broke off or was invalid. */
    BROKEN(true, false),
    /** The server sent nothing for longer than allowed. */
    SILENT(true, true),
    /** The answer did not begin before the request's deadline. */
    TIMED_OUT(true, false),
    /** The address now belongs to another server. */
    MISDIRECTED(true, true),
    /** The call was cancelled for a reason that says nothing about the server's health. */
    CANCELLED(false, false);

    private final boolean mFailure;
    private final boolean mMayHaveRestarted;

    SendResult(boolean failure, boolean mayHaveRestarted) {
        mFailure = failure;
        mMayHaveRestarted = mayHaveRestarted;
    }

    /** Returns whether the result counts as a failure of the server. */
    public boolean failure() {
        return mFailure;
    }

    /** Returns whether the server may have restarted and therefore be cold. */
    public boolean mayHaveRestarted() {
        return mMayHaveRestarted;
    }
}
