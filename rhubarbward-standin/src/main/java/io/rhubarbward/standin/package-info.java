/**
 * Simulated servers that take the place of the platform, of model engines and of plain services in
 * the demo and in tests.
 */
@NullMarked
package io.rhubarbward.standin;

import org.jspecify.annotations.NullMarked;
