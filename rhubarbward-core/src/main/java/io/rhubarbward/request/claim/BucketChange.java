package io.rhubarbward.request.claim;

/**
 * A change of one claim in its bucket.
 *
 * <p>It may be applied again to the bucket that is read back after a conflict or a lost answer, so
 * it must first check whether it has already taken effect.
 */
@FunctionalInterface
interface BucketChange {
    Outcome apply(ClaimBucket bucket);

    /**
     * The bucket after a change, and the result for the request that asked for it.
     *
     * @param bucket the claims after the change
     * @param result the result, which holds once the bucket is stored
     */
    record Outcome(ClaimBucket bucket, ClaimResult result) {}
}
