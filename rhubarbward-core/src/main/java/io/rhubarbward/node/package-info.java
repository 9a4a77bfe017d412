/** One router: the slices put together over the ports that the edges provide. */
@NullMarked
package io.rhubarbward.node;

import org.jspecify.annotations.NullMarked;
