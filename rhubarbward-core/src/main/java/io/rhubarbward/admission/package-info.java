/** Admission control: account rates, the queue for free capacity, and the retry budget. */
@NullMarked
package io.rhubarbward.admission;

import org.jspecify.annotations.NullMarked;
