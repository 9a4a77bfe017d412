/** The exchange: serves one caller's request through calls to backend servers. */
@NullMarked
package io.rhubarbward.request;

import org.jspecify.annotations.NullMarked;
