/** Hashes on which all routers agree. */
@NullMarked
package io.rhubarbward.hash;

import org.jspecify.annotations.NullMarked;
