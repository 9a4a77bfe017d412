/** Membership: which routers are alive, and how messages reach them. */
@NullMarked
package io.rhubarbward.membership;

import org.jspecify.annotations.NullMarked;
