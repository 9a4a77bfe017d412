/** Blocks requests that crash backend servers, wherever in the fleet they are received. */
@NullMarked
package io.rhubarbward.crash;

import org.jspecify.annotations.NullMarked;
