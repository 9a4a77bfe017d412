/** An HTTP server on Netty for callers, operators, metrics and the servers of the tests. */
@NullMarked
package io.rhubarbward.net.http;

import org.jspecify.annotations.NullMarked;
