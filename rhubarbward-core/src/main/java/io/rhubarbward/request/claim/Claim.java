package io.rhubarbward.request.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The claim on one idempotency key, as stored on the platform.
 *
 * @param id the {@link ClaimKey#id()} of the claimed key
 * @param digest a digest of the request's method, target and body
 * @param nonce identifies the exchange that made the claim
 * @param untilMillis the deadline of that exchange, in Unix milliseconds
 * @param state what is known of the request
 * @param answer the answer to the request; null unless the state is done
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Claim(
        String id,
        String digest,
        String nonce,
        long untilMillis,
        State state,
        @Nullable StoredAnswer answer) {
    /** What is known of a claimed request. */
    enum State {
        /** Its exchange may be sending it. */
        @JsonProperty("claimed")
        CLAIMED,
        /** It was answered completely. */
        @JsonProperty("done")
        DONE,
        /** It may have run; its answer is lost. */
        @JsonProperty("unknown")
        UNKNOWN
    }

    Claim withAnswer(StoredAnswer newAnswer) {
        return new Claim(id, digest, nonce, untilMillis, State.DONE, newAnswer);
    }

    Claim withUnknownOutcome() {
        return new Claim(id, digest, nonce, untilMillis, State.UNKNOWN, null);
    }

    /** Returns what the claim means for a later request with the same key. */
    ClaimResult resultFor(String laterDigest, long nowEpochMillis) {
        if (!digest.equals(laterDigest)) {
            return new ClaimResult.KeyReused();
        }
        if (state == State.DONE && answer != null) {
            return new ClaimResult.Answered(answer);
        }
        return state == State.CLAIMED && nowEpochMillis < untilMillis
                ? new ClaimResult.InProgress()
                : new ClaimResult.OutcomeUnknown();
    }
}
