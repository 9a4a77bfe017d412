/**
 * Detects that this router has lost the way to the backend servers, and finds other routers that
 * can forward its requests meanwhile.
 */
@NullMarked
package io.rhubarbward.reach;

import org.jspecify.annotations.NullMarked;
