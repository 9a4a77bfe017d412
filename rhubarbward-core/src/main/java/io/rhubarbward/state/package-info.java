/** State dumps, which components contribute to on request. */
@NullMarked
package io.rhubarbward.state;

import org.jspecify.annotations.NullMarked;
