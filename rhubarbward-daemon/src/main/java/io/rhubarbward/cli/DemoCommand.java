package io.rhubarbward.cli;

import io.rhubarbward.daemon.Demo;
import io.rhubarbward.daemon.DemoPorts;
import io.rhubarbward.event.SystemEventLog;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward demo}: the whole system in one process. */
final class DemoCommand implements Command {
    private static final int CALLERS_PORT = 8080;
    private static final int OPERATORS_PORT = 8081;
    private static final int PLATFORM_PORT = 7000;

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("demo")
                        .help("run the whole system in one process, with stand-ins")
                        .setDefault(CHOSEN, this);
        port(parser, "--callers-port", CALLERS_PORT);
        port(parser, "--operators-port", OPERATORS_PORT);
        port(parser, "--platform-port", PLATFORM_PORT);
        parser.addArgument("--routers").type(Integer.class).setDefault(1).help("default 1");
    }

    private static void port(Subparser parser, String flag, int port) {
        parser.addArgument(flag)
                .type(Integer.class)
                .setDefault(port)
                .help("default " + port + "; 0 takes a free port");
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
        GracefulStop.waitForSignal();
        demo.close();
        return ExitCode.OK;
    }
}
