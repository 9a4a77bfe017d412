package io.rhubarbward.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The entry point of the {@code rhubarbward} program. */
public final class Main {
    private static final List<Command> COMMANDS =
            List.of(
                    new RouterCommand(),
                    new FleetCommand(),
                    new RehearseCommand(),
                    new DemoCommand(),
                    new StandinCommand(),
                    new ConfigCommand(),
                    new DataCentreCommand(),
                    new ReplayCommand(),
                    new TraceCommand(),
                    new MoveCommand(),
                    new DumpCommand(),
                    new ExplainCommand());

    private Main() {}

    /** Runs the command and exits with its {@link ExitCode}. */
    public static void main(String[] arguments) {
        // Threads that the command started would keep the process when this one fails.
        Thread.currentThread()
                .setUncaughtExceptionHandler(
                        (thread, cause) -> {
                            cause.printStackTrace();
                            System.exit(ExitCode.FAILED.status());
                        });
        System.exit(run(Console.system(), arguments).status());
    }

    /** Parses the arguments and runs the command that they choose. */
    public static ExitCode run(Console console, String... arguments) {
        ArgumentParser parser = createParser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            Command command = parsed.get(Command.COMMAND_KEY);
            return command.run(parsed, console);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(console.err(), true, StandardCharsets.UTF_8));
            return ExitCode.USAGE;
        }
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("rhubarbward")
                        .build()
                        .description(
                                "Routes requests to backend servers, those of a chat to the same"
                                        + " server where possible.")
                        .epilog(exitCodeHelp());
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        COMMANDS.forEach(command -> command.configure(commands));
        return parser;
    }

    private static String exitCodeHelp() {
        return Arrays.stream(ExitCode.values())
                .map(code -> code.status() + " " + code.meaning())
                .collect(Collectors.joining("; ", "Exit codes: ", "."));
    }
}
