package io.rhubarbward.cli;

import io.rhubarbward.daemon.Demo;
import io.rhubarbward.daemon.DemoPorts;
import io.rhubarbward.event.SystemEventLog;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward demo}: runs the whole system in one process, with stand-ins. */
final class DemoCommand implements Command {
    private static final int DEFAULT_CALLERS_PORT = 8080;
    private static final int DEFAULT_OPERATORS_PORT = 8081;
    private static final int DEFAULT_PLATFORM_PORT = 7000;

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("demo")
                        .help("run the whole system in one process, with stand-ins")
                        .setDefault(COMMAND_KEY, this);
        addPort(parser, "--callers-port", DEFAULT_CALLERS_PORT);
        addPort(parser, "--operators-port", DEFAULT_OPERATORS_PORT);
        addPort(parser, "--platform-port", DEFAULT_PLATFORM_PORT);
        parser.addArgument("--routers")
                .type(Integer.class)
                .setDefault(1)
                .help("number of routers (default: 1)");
    }

    private static void addPort(Subparser parser, String flag, int defaultPort) {
        parser.addArgument(flag)
                .type(Integer.class)
                .setDefault(defaultPort)
                .help("(default: " + defaultPort + "; 0 picks a free port)");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        DemoPorts ports =
                new DemoPorts(
                        arguments.getInt("callers_port"),
                        arguments.getInt("operators_port"),
                        arguments.getInt("platform_port"));
        Demo demo =
                Demo.start(ports, arguments.getInt("routers"), new SystemEventLog("rhubarbward"));
        console.print(demo.usageExamples());
        console.print("Stop it with Ctrl-C.");
        GracefulStop.blockUntilInterrupted();
        demo.close();
        return ExitCode.OK;
    }
}
