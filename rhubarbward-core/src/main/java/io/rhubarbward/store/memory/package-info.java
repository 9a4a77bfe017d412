/** In-memory object store with fault injection, for tests, replays and stand-ins. */
@NullMarked
package io.rhubarbward.store.memory;

import org.jspecify.annotations.NullMarked;
