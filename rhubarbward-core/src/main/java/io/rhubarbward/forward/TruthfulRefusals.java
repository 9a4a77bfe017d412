package io.rhubarbward.forward;

import io.rhubarbward.placement.Placement;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;

/** Builds refusals that say "not run" only if no server may have run the request. */
final class TruthfulRefusals {
    /** Retry-after of a request that did not run. */
    static final long RETRY_AFTER_MILLIS = 400;

    /** The same while servers state limits, which hold for seconds. */
    private static final long LIMITED_RETRY_AFTER_MILLIS = 1000;

    private TruthfulRefusals() {}

    /** Returns the code of a request for which there is no server. */
    static RefusalCode codeOf(Placement.Cause cause) {
        return switch (cause) {
            case FULL, LIMITED, RESTING -> RefusalCode.OVERLOADED;
            case NONE_LISTED, NONE_USABLE, COLD -> RefusalCode.NO_BACKEND;
        };
    }

    /** Returns when a retry of a request for which there is no server may succeed. */
    static long retryAfterMillis(Placement.None none) {
        return switch (none.cause()) {
            case LIMITED -> LIMITED_RETRY_AFTER_MILLIS;
            case RESTING -> Math.max(RETRY_AFTER_MILLIS, none.restMillis());
            case FULL, NONE_LISTED, NONE_USABLE, COLD -> RETRY_AFTER_MILLIS;
        };
    }

    /** Returns the refusal of a request for which there is no server. */
    static Refusal ofUnplaced(Placement.None none, String service, boolean mayHaveRun) {
        return of(
                codeOf(none.cause()),
                none.cause() + " among " + none.candidates() + " of " + service,
                retryAfterMillis(none),
                mayHaveRun);
    }

    /**
     * Returns a refusal of a request.
     *
     * @param retryAfterMillis the time after which a retry may succeed, for requests that did not
     *     run
     */
    static Refusal of(RefusalCode code, String detail, long retryAfterMillis, boolean mayHaveRun) {
        return new Refusal(
                        mayHaveRun ? codeOfUnknownOutcome(code) : codeOfNotRun(code),
                        detail,
                        mayHaveRun ? 0 : retryAfterMillis)
                .withRunState(mayHaveRun);
    }

    private static RefusalCode codeOfUnknownOutcome(RefusalCode code) {
        return switch (code) {
            case DEADLINE_EXCEEDED, BACKEND_SILENT -> code;
            default -> RefusalCode.BACKEND_LOST;
        };
    }

    private static RefusalCode codeOfNotRun(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, NOT_READY, DEADLINE_EXCEEDED, CRASHES_SERVERS -> code;
            default -> RefusalCode.NO_BACKEND;
        };
    }
}
