package io.rhubarbward.request.claim;

import java.time.Duration;

/**
 * Asks for a claim.
 *
 * @param key what to claim
 * @param digest of the request's method, target and body
 * @param limit how long the exchange may take from now
 * @param retention how long the outcome is kept after that
 */
public record ClaimRequest(ClaimKey key, String digest, Duration limit, Duration retention) {}
