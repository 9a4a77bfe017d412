/** Admission: which requests a client account may run now. */
@NullMarked
package io.rhubarbward.admission;

import org.jspecify.annotations.NullMarked;
