/** Routing: which backend servers a request may go to, in what order. */
@NullMarked
package io.rhubarbward.routing;

import org.jspecify.annotations.NullMarked;
