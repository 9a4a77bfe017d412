/** Benchmarks: programs that measure and print, and that no test runs. */
@NullMarked
package io.rhubarbward.bench;

import org.jspecify.annotations.NullMarked;
