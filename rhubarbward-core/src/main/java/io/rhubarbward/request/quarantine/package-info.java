/** Crash quarantine: one request takes down two engines at most, whichever routers it comes to. */
@NullMarked
package io.rhubarbward.request.quarantine;

import org.jspecify.annotations.NullMarked;
