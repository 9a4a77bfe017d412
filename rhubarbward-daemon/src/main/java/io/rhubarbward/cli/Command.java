package io.rhubarbward.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One command of the command line. */
interface Command {
    /** The name under which a parsed command line holds the command that it chose. */
    String CHOSEN = "command";

    /** Adds the command's arguments; the chosen command is set as {@link #CHOSEN}. */
    void configure(Subparsers commands);

    /** Runs the command. */
    ExitCode run(Namespace arguments, Console console);
}
