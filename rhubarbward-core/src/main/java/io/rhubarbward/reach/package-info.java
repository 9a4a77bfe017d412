/** Detects that this router reaches no backend server, and finds routers that forward for it. */
@NullMarked
package io.rhubarbward.reach;

import org.jspecify.annotations.NullMarked;
