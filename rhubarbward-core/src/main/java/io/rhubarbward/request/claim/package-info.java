/** Claims: a non-idempotent request with an idempotency key runs once at most. */
@NullMarked
package io.rhubarbward.request.claim;

import org.jspecify.annotations.NullMarked;
