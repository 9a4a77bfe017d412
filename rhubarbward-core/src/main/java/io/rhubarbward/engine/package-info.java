/** Backend servers: what is known of each, and how much work it can bear. */
@NullMarked
package io.rhubarbward.engine;

import org.jspecify.annotations.NullMarked;
