/** Gossip among routers about the requests that each has in flight at the backend servers. */
@NullMarked
package io.rhubarbward.gossip;

import org.jspecify.annotations.NullMarked;
