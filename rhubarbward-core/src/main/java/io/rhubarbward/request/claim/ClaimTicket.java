package io.rhubarbward.request.claim;

/**
 * A claim that was granted.
 *
 * @param key what was claimed
 * @param nonce of the exchange that made the claim
 */
public record ClaimTicket(ClaimKey key, String nonce) {}
