/** Quota leases: shared limits that a custodian grants in expiring allotments. */
@NullMarked
package io.rhubarbward.quota;

import org.jspecify.annotations.NullMarked;
