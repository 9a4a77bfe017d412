/** Crash quarantine: one request crashes at most two engines, whichever routers it reaches. */
@NullMarked
package io.rhubarbward.request.quarantine;

import org.jspecify.annotations.NullMarked;
