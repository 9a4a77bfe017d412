/** Hashing that gives the same result at every router. */
@NullMarked
package io.rhubarbward.hash;

import org.jspecify.annotations.NullMarked;
