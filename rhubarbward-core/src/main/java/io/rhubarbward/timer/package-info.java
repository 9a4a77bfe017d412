/** Clocks and timers, on the system's time or on simulated time. */
@NullMarked
package io.rhubarbward.timer;

import org.jspecify.annotations.NullMarked;
