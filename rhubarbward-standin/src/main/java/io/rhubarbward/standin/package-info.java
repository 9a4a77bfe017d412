/** Simulated platform, model engines and plain services, for the demo and for tests. */
@NullMarked
package io.rhubarbward.standin;

import org.jspecify.annotations.NullMarked;
