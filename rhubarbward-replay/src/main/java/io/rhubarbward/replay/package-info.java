/** Replays: traces driven through the decision code on virtual time, promises checked. */
@NullMarked
package io.rhubarbward.replay;

import org.jspecify.annotations.NullMarked;
