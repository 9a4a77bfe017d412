/** HTTP clients on AsyncHttpClient, towards backend servers. */
@NullMarked
package io.rhubarbward.net.backend;

import org.jspecify.annotations.NullMarked;
