/** The wire format of the platform's HTTP API, and its client. */
@NullMarked
package io.rhubarbward.net.platform;

import org.jspecify.annotations.NullMarked;
