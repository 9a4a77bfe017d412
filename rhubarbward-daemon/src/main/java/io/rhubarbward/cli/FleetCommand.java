package io.rhubarbward.cli;

import io.rhubarbward.daemon.FleetRouterDaemon;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.JsonEventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.platform.NodeFile;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import sun.misc.Signal;

/** {@code rhubarbward fleet}: runs a router of the users' platform until SIGTERM. */
final class FleetCommand implements Command {
    /** How often the settings file is looked at: it may change without a signal. */
    private static final long SETTINGS_PERIOD_MILLIS = 2000;

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("fleet")
                        .help("run a router on the users' platform")
                        .setDefault(CHOSEN, this);
        parser.addArgument("--node-file")
                .metavar("FILE")
                .help("the VM's settings as the platform writes them (default: where it says)");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Path file =
                Optional.ofNullable(arguments.getString("node_file"))
                        .map(Path::of)
                        .orElseGet(NodeFile::path);
        Either<String, FleetNodeSettings> settings = NodeFile.read(file);
        if (settings.isLeft()) {
            return console.fail(ExitCode.USAGE, settings.getLeft());
        }
        // Bound first of all: callers that come during the start wait here and are not reset.
        ServerSocketChannel callers = HttpListener.bind(settings.get().callers());
        EventLog events =
                new JsonEventLog(
                        "rhubarbward",
                        () -> settings.get().vm(),
                        () ->
                                new JsonEventLog.Clock(
                                        System.currentTimeMillis(),
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        FleetRouterDaemon daemon =
                FleetRouterDaemon.start(
                        settings.get(), callers, FleetRouterDaemon.METRICS_PORT, events);
        CountDownLatch stop = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stop.countDown());
        Signal.handle(new Signal("INT"), signal -> stop.countDown());
        Signal.handle(new Signal("HUP"), signal -> reload(daemon, file, events));
        follow(daemon, file, events, stop);
        CompletableFuture<Integer> stopped = daemon.stop();
        // Netty's threads are no daemons, so that only a halt ends the process.
        Runtime.getRuntime()
                .halt((stopped.join() == 0 ? ExitCode.OK : ExitCode.CUT_REQUESTS).status());
        return ExitCode.OK;
    }

    private static void follow(
            FleetRouterDaemon daemon, Path file, EventLog events, CountDownLatch stop) {
        long seen = modified(file);
        try {
            while (!stop.await(SETTINGS_PERIOD_MILLIS, TimeUnit.MILLISECONDS)) {
                long now = modified(file);
                if (now != seen) {
                    seen = now;
                    reload(daemon, file, events);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long modified(Path file) {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            // A file that is being replaced is looked at again at the next turn.
            return 0;
        }
    }

    private static void reload(FleetRouterDaemon daemon, Path file, EventLog events) {
        NodeFile.read(file)
                .peek(daemon::reload)
                .peekLeft(
                        reason ->
                                events.log(
                                        LogEvent.SETTINGS_REFUSED,
                                        EventField.of("reason", reason)));
    }
}
