/** Simulated store, replica and caller that use the HTTP format of the users' platform. */
@NullMarked
package io.rhubarbward.standin.fleet;

import org.jspecify.annotations.NullMarked;
