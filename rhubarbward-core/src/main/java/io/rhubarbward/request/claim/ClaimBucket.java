package io.rhubarbward.request.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.store.PlatformFailure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The claims that are stored together in one platform object.
 *
 * @param claims at most one for each key
 */
record ClaimBucket(List<Claim> claims) {
    static final ClaimBucket EMPTY = new ClaimBucket(List.of());
    private static final ObjectMapper MAPPER = new ObjectMapper();

    ClaimBucket {
        claims = List.copyOf(claims);
    }

    static Either<PlatformFailure, ClaimBucket> parse(String json) {
        try {
            return Either.right(MAPPER.readValue(json, ClaimBucket.class));
        } catch (JsonProcessingException e) {
            return Either.left(
                    new PlatformFailure.Unreadable(
                            "cannot parse claim bucket: " + e.getOriginalMessage()));
        }
    }

    String json() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a claim bucket as JSON", e);
        }
    }

    /** Returns the key's claim, whichever exchange made it. */
    Optional<Claim> find(ClaimKey key) {
        return claims.stream().filter(claim -> claim.id().equals(key.id())).findFirst();
    }

    /** Returns the ticket's claim; empty if another exchange has claimed the key since. */
    Optional<Claim> find(ClaimTicket ticket) {
        return find(ticket.key()).filter(claim -> claim.nonce().equals(ticket.nonce()));
    }

    /** Returns a bucket that has this claim in place of any other claim on its key. */
    ClaimBucket with(Claim claim) {
        return new ClaimBucket(
                Stream.concat(without(claim.id()).claims.stream(), Stream.of(claim)).toList());
    }

    ClaimBucket without(String id) {
        return new ClaimBucket(claims.stream().filter(claim -> !claim.id().equals(id)).toList());
    }

    /** Returns a bucket without the claims whose deadline was before the time. */
    ClaimBucket withoutExpiredBefore(long epochMillis) {
        return new ClaimBucket(
                claims.stream().filter(claim -> claim.untilMillis() >= epochMillis).toList());
    }
}
