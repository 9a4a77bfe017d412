package io.rhubarbward.request.claim;

import io.rhubarbward.config.Sha256;
import io.rhubarbward.store.ObjectKey;

/**
 * Identifies a claim: a caller's idempotency key, of one client account at one service.
 *
 * @param id the first 128 bits of a SHA-256 of account, service and idempotency key, in hexadecimal
 */
public record ClaimKey(String id) {
    /** Length of a digest in hexadecimal digits: 128 bits. */
    public static final int ID_DIGITS = 32;

    /** Gives 2^20 buckets, each small enough to be rewritten for one claim. */
    private static final int BUCKET_DIGITS = 5;

    /** Returns the key for an idempotency key as the caller sent it. */
    public static ClaimKey of(String account, String service, String idempotencyKey) {
        // The lengths make the text unambiguous, whatever characters the names contain.
        String joined =
                account.length()
                        + ":"
                        + account
                        + service.length()
                        + ":"
                        + service
                        + idempotencyKey;
        return new ClaimKey(Sha256.of(joined).substring(0, ID_DIGITS));
    }

    /** Returns the key of the platform object that stores the claim. */
    ObjectKey bucketKey() {
        return ObjectKey.of("claims/" + id.substring(0, BUCKET_DIGITS));
    }
}
