/** Stand-ins for the platform, model engines and plain services. */
@NullMarked
package io.rhubarbward.standin;

import org.jspecify.annotations.NullMarked;
