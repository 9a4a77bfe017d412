/** Failure detection by heartbeats, ownership of keys by the live routers, and peer messages. */
@NullMarked
package io.rhubarbward.membership;

import org.jspecify.annotations.NullMarked;
