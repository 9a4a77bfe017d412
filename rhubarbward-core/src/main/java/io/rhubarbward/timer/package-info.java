/** Time: the clock and the timers that every part subscribes to, real and virtual. */
@NullMarked
package io.rhubarbward.timer;

import org.jspecify.annotations.NullMarked;
