/** Timers that run on the Netty event loop that also handles the sockets. */
@NullMarked
package io.rhubarbward.net.loop;

import org.jspecify.annotations.NullMarked;
