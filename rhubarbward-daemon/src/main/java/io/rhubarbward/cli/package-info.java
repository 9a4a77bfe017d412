/** The command line interface: the program's commands, their arguments and exit codes. */
@NullMarked
package io.rhubarbward.cli;

import org.jspecify.annotations.NullMarked;
