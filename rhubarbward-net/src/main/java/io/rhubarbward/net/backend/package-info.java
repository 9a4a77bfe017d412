/** HTTP clients on AsyncHttpClient, for calls to backend servers and their engines. */
@NullMarked
package io.rhubarbward.net.backend;

import org.jspecify.annotations.NullMarked;
