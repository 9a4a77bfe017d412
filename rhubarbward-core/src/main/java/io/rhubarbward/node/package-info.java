/** Assembles one router from its components, over interfaces to network, clock, log and store. */
@NullMarked
package io.rhubarbward.node;

import org.jspecify.annotations.NullMarked;
