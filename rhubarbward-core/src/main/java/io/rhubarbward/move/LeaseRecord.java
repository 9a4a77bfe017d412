package io.rhubarbward.move;

/**
 * The content of the lease object on the platform.
 *
 * @param holder the lease holder: its VM's name and its process's incarnation
 * @param fence the fencing number; grows each time the lease changes hands
 * @param nonce identifies the write, so that a holder whose answer was lost recognizes its own
 *     write
 */
record LeaseRecord(String holder, long fence, String nonce) {}
