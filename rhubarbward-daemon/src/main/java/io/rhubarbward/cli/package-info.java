/** The command line. */
@NullMarked
package io.rhubarbward.cli;

import org.jspecify.annotations.NullMarked;
