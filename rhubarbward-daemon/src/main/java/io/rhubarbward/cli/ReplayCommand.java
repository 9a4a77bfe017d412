package io.rhubarbward.cli;

import io.rhubarbward.replay.Replay;
import io.rhubarbward.replay.ReplayReport;
import io.rhubarbward.replay.Trace;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward replay}: replays a trace on virtual time and checks every promise. */
final class ReplayCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("replay")
                        .help("replay a trace on virtual time and check every promise")
                        .setDefault(COMMAND_KEY, this);
        parser.addArgument("trace").metavar("TRACE").help("the trace file, in JSON Lines");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("the seed of the routers' random numbers (default: 1)");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        String file = arguments.getString("trace");
        try {
            List<String> lines = Files.readAllLines(Path.of(file));
            return Trace.parse(lines)
                    .fold(
                            failure ->
                                    console.fail(
                                            ExitCode.INVALID_SETTINGS,
                                            file + ":" + failure.line() + ": " + failure.detail()),
                            trace -> replay(trace, arguments, console));
        } catch (IOException e) {
            return console.fail(ExitCode.INVALID_SETTINGS, file + ": cannot be read: " + e);
        }
    }

    private static ExitCode replay(Trace trace, Namespace arguments, Console console) {
        ReplayReport report = Replay.run(trace, arguments.getLong("seed"));
        if (arguments.getBoolean("json")) {
            console.printJson(report);
        } else {
            console.print(report.table());
        }
        return report.held() ? ExitCode.OK : ExitCode.PROMISE_BROKEN;
    }
}
