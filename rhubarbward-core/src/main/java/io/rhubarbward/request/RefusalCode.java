package io.rhubarbward.request;

import java.util.Locale;

/**
 * The reasons for which a caller's request is refused.
 *
 * <p>If {@link #runState()} is {@link RunState#NOT_RUN}, that holds only as long as no byte of the
 * request was sent to a backend server. {@link #runState(boolean)} takes into account whether an
 * earlier attempt may have run the request.
 */
public enum RefusalCode {
    MALFORMED_REQUEST(400, RunState.NOT_RUN, "The request cannot be read"),
    UNAUTHENTICATED(401, RunState.NOT_RUN, "The bearer key belongs to no client account"),
    UNKNOWN_PATH(404, RunState.NOT_RUN, "No service has this path"),
    UNKNOWN_MODEL(404, RunState.NOT_RUN, "No service serves this model"),
    METHOD_NOT_ALLOWED(405, RunState.NOT_RUN, "The service does not take this method"),
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, "The request did not arrive in time"),
    BODY_TOO_LARGE(413, RunState.NOT_RUN, "The body is larger than allowed"),
    HEAD_TOO_LARGE(431, RunState.NOT_RUN, "The header is larger than allowed"),
    BODY_MEMORY_FULL(
            503, RunState.NOT_RUN, "The bodies of other requests take up the memory for them"),
    HEAD_MEMORY_FULL(
            503, RunState.NOT_RUN, "The heads of other requests take up the memory for them"),
    ACCOUNT_OVER_LIMIT(429, RunState.NOT_RUN, "The client account is over its rate"),
    NOT_READY(503, RunState.NOT_RUN, "The router has no configuration yet"),
    DRAINING(503, RunState.NOT_RUN, "The router is stopping"),
    OVERLOADED(503, RunState.NOT_RUN, "Every backend server carries what it can bear"),
    NO_BACKEND(503, RunState.NOT_RUN, "No backend server takes new work"),
    BACKEND_UNREACHABLE(502, RunState.NOT_RUN, "No connection to a backend server came about"),
    BACKEND_LOST(502, RunState.UNKNOWN, "The backend server's connection ended too soon"),
    BACKEND_SILENT(504, RunState.UNKNOWN, "The backend server fell silent"),
    DEADLINE_EXCEEDED(504, RunState.UNKNOWN, "The request took longer than allowed") {
        @Override
        public RunState runState(boolean mayHaveRun) {
            return mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
        }
    },
    CRASHES_SERVERS(
            503, RunState.NOT_RUN, "Requests with the same part or content crash backend servers"),
    CRASH_SUSPECT(
            503, RunState.NOT_RUN, "An engine crashed under the request; it is running again"),
    QUARANTINED(422, RunState.NOT_RUN, "Engines crashed under the request"),
    INVALID_KEY(400, RunState.NOT_RUN, "The idempotency key cannot be used"),
    KEY_REUSED(422, RunState.NOT_RUN, "The idempotency key was used for another request"),
    IN_PROGRESS(409, RunState.UNKNOWN, "The request with this idempotency key is being served"),
    OUTCOME_UNKNOWN(409, RunState.UNKNOWN, "The request may have run; its answer is lost"),
    ANSWER_NOT_KEPT(409, RunState.DONE, "The request ran; its answer was too large to keep"),
    CLAIMS_UNAVAILABLE(503, RunState.NOT_RUN, "The store that prevents a second run is out");

    private final int mStatus;
    private final RunState mRunState;
    private final String mTitle;

    RefusalCode(int status, RunState runState, String title) {
        mStatus = status;
        mRunState = runState;
        mTitle = title;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return mStatus;
    }

    /** Returns whether the request may have run, as far as the code alone shows. */
    public RunState runState() {
        return mRunState;
    }

    /** Returns whether the request may have run, given whether an earlier attempt may have run. */
    public RunState runState(boolean mayHaveRun) {
        return mayHaveRun && mRunState == RunState.NOT_RUN ? RunState.UNKNOWN : mRunState;
    }

    /** Returns a one-line description for people. */
    public String title() {
        return mTitle;
    }

    /** Returns the code as written in answers, such as {@code account-over-limit}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
