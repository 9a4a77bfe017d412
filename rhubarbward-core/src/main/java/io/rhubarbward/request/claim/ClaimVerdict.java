package io.rhubarbward.request.claim;

/** What became of an attempt to claim a key. */
public sealed interface ClaimVerdict {
    /**
     * The key is this request's own; nobody else sends it.
     *
     * @param ticket settles or releases the claim
     */
    record Granted(ClaimTicket ticket) implements ClaimVerdict {}

    /**
     * The request ran before and was answered.
     *
     * @param answer what it was answered
     */
    record Answered(StoredAnswer answer) implements ClaimVerdict {}

    /** The request is being served elsewhere. */
    record InProgress() implements ClaimVerdict {}

    /** The request may have run before; its answer is lost. */
    record OutcomeUnknown() implements ClaimVerdict {}

    /** The key was used for a request that differs. */
    record KeyReused() implements ClaimVerdict {}

    /** The platform's store cannot say; nothing may be sent. */
    record StoreOut() implements ClaimVerdict {}
}
