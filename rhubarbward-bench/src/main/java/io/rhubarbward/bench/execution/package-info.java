/** Replays requests with idempotency keys under seeded faults, on virtual time. */
@NullMarked
package io.rhubarbward.bench.execution;

import org.jspecify.annotations.NullMarked;
