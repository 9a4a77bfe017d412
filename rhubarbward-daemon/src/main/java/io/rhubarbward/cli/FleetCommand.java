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

/** {@code rhubarbward fleet}: runs a router on the users' platform until SIGTERM or SIGINT. */
final class FleetCommand implements Command {
    /** How often the settings file is checked: it may change without a SIGHUP. */
    private static final long SETTINGS_CHECK_PERIOD_MILLIS = 2000;

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("fleet")
                        .help("run a router on the users' platform")
                        .setDefault(COMMAND_KEY, this);
        parser.addArgument("--node-file")
                .metavar("FILE")
                .help(
                        "the settings file that the platform writes on the VM (default: where the"
                                + " platform puts it)");
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
        // Bound before the router starts, so that early connections wait in the backlog instead of
        // being reset.
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
        reloadOnChange(daemon, file, events, stop);
        CompletableFuture<Integer> stopped = daemon.stop();
        // Halts, since Netty's threads are not daemon threads.
        Runtime.getRuntime()
                .halt((stopped.join() == 0 ? ExitCode.OK : ExitCode.CUT_REQUESTS).status());
        return ExitCode.OK;
    }

    private static void reloadOnChange(
            FleetRouterDaemon daemon, Path file, EventLog events, CountDownLatch stop) {
        long lastSeenMillis = modifiedMillis(file);
        try {
            while (!stop.await(SETTINGS_CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS)) {
                long modifiedMillis = modifiedMillis(file);
                if (modifiedMillis != lastSeenMillis) {
                    lastSeenMillis = modifiedMillis;
                    reload(daemon, file, events);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long modifiedMillis(Path file) {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            // The file may be missing while it is replaced; the next check looks at it again.
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
