/**
 * Crash quarantine: one request crashes at most two engines, whichever routers its caller sends it
 * to.
 */
@NullMarked
package io.rhubarbward.request.quarantine;

import org.jspecify.annotations.NullMarked;
