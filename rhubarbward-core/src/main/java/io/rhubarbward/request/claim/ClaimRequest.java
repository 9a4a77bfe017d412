package io.rhubarbward.request.claim;

import java.time.Duration;

/**
 * A request to claim an idempotency key for one exchange.
 *
 * @param key the key to claim
 * @param digest a digest of the caller's method, target and body
 * @param timeLimit how long the exchange may take from now
 * @param retention how long the outcome is kept after the time limit
 */
public record ClaimRequest(ClaimKey key, String digest, Duration timeLimit, Duration retention) {}
