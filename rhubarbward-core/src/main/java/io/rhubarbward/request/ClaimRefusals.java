package io.rhubarbward.request;

import io.rhubarbward.request.claim.ClaimResult;

/** Builds the refusal of a request whose idempotency key could not be claimed. */
final class ClaimRefusals {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private ClaimRefusals() {}

    static Refusal of(ClaimResult result) {
        if (result instanceof ClaimResult.KeyReused) {
            return Refusal.of(
                    RefusalCode.KEY_REUSED,
                    "the key came before with another method, target or body");
        }
        if (result instanceof ClaimResult.InProgress) {
            return new Refusal(
                    RefusalCode.IN_PROGRESS,
                    "expected the same key only after the first answer",
                    RETRY_AFTER_MILLIS);
        }
        if (result instanceof ClaimResult.OutcomeUnknown) {
            return Refusal.of(
                    RefusalCode.OUTCOME_UNKNOWN,
                    "the request was sent before and its answer is lost");
        }
        if (result instanceof ClaimResult.Answered answered) {
            return Refusal.of(
                    RefusalCode.ANSWER_NOT_KEPT,
                    "the request was answered with status " + answered.answer().status());
        }
        return new Refusal(
                RefusalCode.CLAIMS_UNAVAILABLE,
                "the idempotency key could not be claimed; nothing was sent",
                RETRY_AFTER_MILLIS);
    }
}
