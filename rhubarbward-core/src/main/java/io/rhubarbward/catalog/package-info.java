/** The routing catalogue that operators publish: routes, services, caller limits and API keys. */
@NullMarked
package io.rhubarbward.catalog;

import org.jspecify.annotations.NullMarked;
