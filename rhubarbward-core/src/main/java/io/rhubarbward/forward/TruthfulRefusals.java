package io.rhubarbward.forward;

import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;

/** Builds refusals that say "not run" only if no server may have run the request. */
final class TruthfulRefusals {
    private TruthfulRefusals() {}

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
