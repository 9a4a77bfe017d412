/** State dumps: what each part shows of itself on request. */
@NullMarked
package io.rhubarbward.state;

import org.jspecify.annotations.NullMarked;
