package io.rhubarbward.move;

/**
 * The lease object as the platform holds it.
 *
 * @param holder the VM that holds it
 * @param fence grows each time the lease changes hands
 * @param nonce tells the holder that a write whose answer was lost was its own
 */
record LeaseRecord(String holder, long fence, String nonce) {}
