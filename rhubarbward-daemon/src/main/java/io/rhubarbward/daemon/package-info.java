/** The router's process: edges around a router node. */
@NullMarked
package io.rhubarbward.daemon;

import org.jspecify.annotations.NullMarked;
