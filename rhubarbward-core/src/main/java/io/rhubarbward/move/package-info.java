/** Planned rollouts of backend server versions. */
@NullMarked
package io.rhubarbward.move;

import org.jspecify.annotations.NullMarked;
