package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.daemon.RouterDaemon;
import io.rhubarbward.daemon.RouterProcessSettings;
import io.rhubarbward.event.SystemEventLog;
import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward router}: runs a router until SIGTERM. */
final class RouterCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("router").help("run a router").setDefault(CHOSEN, this);
        parser.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("this process's settings, JSON with comments");
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
        GracefulStop.onSignal(router);
        GracefulStop.waitForSignal();
        return ExitCode.OK;
    }
}
