package io.rhubarbward.request;

/** How a call to a backend server failed. */
public enum BackendFailure {
    /** No connection came about, so that nothing was sent. */
    NOT_CONNECTED(true, RefusalCode.BACKEND_UNREACHABLE),
    /** The connection ended before the answer did. */
    CONNECTION_LOST(false, RefusalCode.BACKEND_LOST),
    /** The connection stayed silent for longer than allowed. */
    SILENT(false, RefusalCode.BACKEND_SILENT),
    /** What came was not HTTP, or not the whole answer that it claimed to be. */
    INCOMPLETE(false, RefusalCode.BACKEND_LOST);

    private final boolean mProvesNotRun;
    private final RefusalCode mRefusal;

    BackendFailure(boolean provesNotRun, RefusalCode refusal) {
        mProvesNotRun = provesNotRun;
        mRefusal = refusal;
    }

    /** Returns whether the request certainly did not run. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }

    /** Returns how a caller is refused whose request ended this way. */
    public RefusalCode refusal() {
        return mRefusal;
    }
}
