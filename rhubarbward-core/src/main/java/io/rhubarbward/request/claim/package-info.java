/**
 * At-most-once execution of non-idempotent requests: a router claims the request's idempotency key
 * in the platform's store before it sends the request.
 */
@NullMarked
package io.rhubarbward.request.claim;

import org.jspecify.annotations.NullMarked;
