package io.rhubarbward.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A subcommand of the {@code rhubarbward} program. */
interface Command {
    /** The key under which the parsed arguments hold the chosen command. */
    String COMMAND_KEY = "command";

    /** Adds the command's parser, which sets this command under {@link #COMMAND_KEY}. */
    void configure(Subparsers commands);

    ExitCode run(Namespace arguments, Console console);
}
