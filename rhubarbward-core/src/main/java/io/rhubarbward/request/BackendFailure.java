package io.rhubarbward.request;

/** The ways in which a call to a backend server can fail. */
public enum BackendFailure {
    /** No connection could be made, so nothing was sent. */
    NOT_CONNECTED(true, RefusalCode.BACKEND_UNREACHABLE),
    /** The connection failed before the answer was complete; the request may have run. */
    CONNECTION_LOST(false, RefusalCode.BACKEND_LOST),
    /** No byte of the answer arrived for longer than allowed. */
    SILENT(false, RefusalCode.BACKEND_SILENT),
    /** The answer ended, but was incomplete. */
    INCOMPLETE(false, RefusalCode.BACKEND_LOST),
    /** The status of the answer is none that a final answer has; the request may have run. */
    INVALID_STATUS(false, RefusalCode.BACKEND_LOST);

    private final boolean mProvesNotRun;
    private final RefusalCode mRefusal;

    BackendFailure(boolean provesNotRun, RefusalCode refusal) {
        mProvesNotRun = provesNotRun;
        mRefusal = refusal;
    }

    /** Returns whether the failure proves that the request did not run. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }

    /** Returns the code that a caller gets if its request fails in this way. */
    public RefusalCode refusal() {
        return mRefusal;
    }
}
