/** The platform's wire format and its HTTP client. */
@NullMarked
package io.rhubarbward.net.platform;

import org.jspecify.annotations.NullMarked;
