package io.rhubarbward.request.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * One key's claim as the platform holds it.
 *
 * @param id the claim's key
 * @param digest of the request's method, target and body
 * @param nonce of the exchange that made the claim
 * @param untilMillis when that exchange ends at the latest, in milliseconds since 1970
 * @param state what is known of the request
 * @param answer what it was answered; null unless it is done
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
        /** It was answered whole. */
        @JsonProperty("done")
        DONE,
        /** It may have run; its answer is lost. */
        @JsonProperty("unknown")
        UNKNOWN
    }

    Claim done(StoredAnswer answer) {
        return new Claim(id, digest, nonce, untilMillis, State.DONE, answer);
    }

    Claim lost() {
        return new Claim(id, digest, nonce, untilMillis, State.UNKNOWN, null);
    }

    /** Returns what the claim means to a later request with the same key. */
    ClaimVerdict verdictFor(String otherDigest, long epochMillis) {
        if (!digest.equals(otherDigest)) {
            return new ClaimVerdict.KeyReused();
        }
        if (state == State.DONE && answer != null) {
            return new ClaimVerdict.Answered(answer);
        }
        return state == State.CLAIMED && epochMillis < untilMillis
                ? new ClaimVerdict.InProgress()
                : new ClaimVerdict.OutcomeUnknown();
    }
}
