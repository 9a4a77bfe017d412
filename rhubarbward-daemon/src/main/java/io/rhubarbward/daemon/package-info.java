/** Router processes: sockets, event loops and logging around a router; and local demo set-ups. */
@NullMarked
package io.rhubarbward.daemon;

import org.jspecify.annotations.NullMarked;
