/** Claims on idempotency keys: a non-idempotent request that has a key runs at most once. */
@NullMarked
package io.rhubarbward.request.claim;

import org.jspecify.annotations.NullMarked;
