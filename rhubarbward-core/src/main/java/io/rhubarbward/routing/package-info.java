/** Routing: the backend servers that a request may go to, in order of preference. */
@NullMarked
package io.rhubarbward.routing;

import org.jspecify.annotations.NullMarked;
