package io.rhubarbward.request.claim;

/**
 * Identifies a granted claim, so that only the exchange that made it can end it.
 *
 * @param key the claimed key
 * @param nonce unique to the call that made the claim
 */
public record ClaimTicket(ClaimKey key, String nonce) {}
