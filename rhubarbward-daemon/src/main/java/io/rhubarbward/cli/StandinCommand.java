package io.rhubarbward.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.daemon.DemoPorts;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.SystemEventLog;
import io.rhubarbward.standin.EngineProfile;
import io.rhubarbward.standin.EngineStandin;
import io.rhubarbward.standin.PlatformStandin;
import io.rhubarbward.standin.ServiceStandin;
import io.rhubarbward.timer.SystemTimerService;
import java.net.InetSocketAddress;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward standin}: runs a stand-in for the platform, an engine or a plain service. */
final class StandinCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("standin")
                        .help("run a stand-in for the platform, an engine or a plain service")
                        .setDefault(COMMAND_KEY, this);
        parser.addArgument("kind").choices("platform", "engine", "service");
        parser.addArgument("--port")
                .type(Integer.class)
                .setDefault(0)
                .help("the port to listen on (default: a free one)");
        parser.addArgument("--name")
                .setDefault("standin")
                .help("the name that an engine or service gives in its responses");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        EventLog events = new SystemEventLog("rhubarbward");
        EventLoopGroup group = new NioEventLoopGroup(1);
        SystemTimerService timers = new SystemTimerService("standin", events);
        InetSocketAddress address = DemoPorts.loopback(arguments.getInt("port"));
        String name = arguments.getString("name");
        String listening =
                switch (arguments.getString("kind")) {
                    case "platform" -> new PlatformStandin(group, address, timers).address();
                    case "engine" ->
                            new EngineStandin(
                                            name,
                                            UUID.randomUUID().toString(),
                                            EngineProfile.QUICK,
                                            group,
                                            address,
                                            timers)
                                    .address();
                    default -> new ServiceStandin(name, group, address, timers).address();
                };
        console.print(listening);
        GracefulStop.blockUntilInterrupted();
        return ExitCode.OK;
    }
}
