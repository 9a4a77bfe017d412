/** The reverse proxy: forwards callers' requests to backend servers, and the answers back. */
@NullMarked
package io.rhubarbward.forward;

import org.jspecify.annotations.NullMarked;
