package io.rhubarbward.request.claim;

/**
 * A change of one claim in its bucket.
 *
 * <p>It may be applied again to what is read back after a conflict or a lost answer, so it first
 * looks whether it took effect before.
 */
@FunctionalInterface
interface BucketChange {
    Step apply(ClaimBucket bucket);

    /**
     * What a change came to.
     *
     * @param bucket the claims after the change
     * @param verdict what is true once the bucket is stored
     */
    record Step(ClaimBucket bucket, ClaimVerdict verdict) {}
}
