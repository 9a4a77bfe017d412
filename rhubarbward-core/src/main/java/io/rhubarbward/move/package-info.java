/** Staged rollouts of backend server versions, with canary analysis and rollback. */
@NullMarked
package io.rhubarbward.move;

import org.jspecify.annotations.NullMarked;
