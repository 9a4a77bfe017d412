package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.daemon.RouterDaemon;
import io.rhubarbward.daemon.RouterProcessSettings;
import io.rhubarbward.event.SystemEventLog;
import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward router}: runs a router until SIGTERM or SIGINT. */
final class RouterCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("router").help("run a router").setDefault(COMMAND_KEY, this);
        parser.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("the router's own settings file, in JSON with comments");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Either<ConfigFailure, RouterProcessSettings> settings =
                SettingsFiles.read(arguments.getString("settings"))
                        .flatMap(RouterProcessSettings::read);
        if (settings.isLeft()) {
            ConfigFailure failure = settings.getLeft();
            return console.fail(ExitCode.of(failure), failure.message());
        }
        RouterDaemon router = RouterDaemon.start(settings.get(), new SystemEventLog("rhubarbward"));
        GracefulStop.drainOnShutdown(router);
        GracefulStop.blockUntilInterrupted();
        return ExitCode.OK;
    }
}
