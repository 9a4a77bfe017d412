/** Quotas: limits that all routers enforce together, whose units a custodian grants on lease. */
@NullMarked
package io.rhubarbward.quota;

import org.jspecify.annotations.NullMarked;
