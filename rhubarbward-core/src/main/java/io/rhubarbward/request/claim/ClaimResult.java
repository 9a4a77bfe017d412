package io.rhubarbward.request.claim;

/** The result of an attempt to claim an idempotency key. */
public sealed interface ClaimResult {
    /**
     * The exchange holds the claim, and no other exchange sends the request.
     *
     * @param ticket ends or releases the claim
     */
    record Granted(ClaimTicket ticket) implements ClaimResult {}

    /**
     * The request ran before and was answered.
     *
     * @param answer the stored answer
     */
    record Answered(StoredAnswer answer) implements ClaimResult {}

    /** Another exchange is serving the request, perhaps at another router. */
    record InProgress() implements ClaimResult {}

    /** The request may have run before; its answer is lost. */
    record OutcomeUnknown() implements ClaimResult {}

    /** The key was used before with another method, target or body. */
    record KeyReused() implements ClaimResult {}

    /** The claim could not be written or verified in the store, so nothing may be sent. */
    record StoreUnavailable() implements ClaimResult {}
}
