/** HTTP servers on Netty, towards callers, operators and tests. */
@NullMarked
package io.rhubarbward.net.http;

import org.jspecify.annotations.NullMarked;
