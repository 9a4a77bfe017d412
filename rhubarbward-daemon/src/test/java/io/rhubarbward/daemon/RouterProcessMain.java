package io.rhubarbward.daemon;

import io.rhubarbward.event.JsonEventLog;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.platform.NodeFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a {@link FleetRouterDaemon} in a process of its own, with its metrics on a free port.
 *
 * <p>The arguments are the settings file, and the file that gets the ports for callers, for
 * readiness checks and for forwarded requests, a line each.
 */
final class RouterProcessMain {
    private RouterProcessMain() {}

    public static void main(String[] arguments) throws Exception {
        FleetNodeSettings settings = NodeFile.read(Path.of(arguments[0])).get();
        FleetRouterDaemon daemon =
                FleetRouterDaemon.start(
                        settings,
                        HttpListener.bind(settings.callers()),
                        0,
                        new JsonEventLog(
                                "rhubarbward",
                                settings::vm,
                                () ->
                                        new JsonEventLog.Clock(
                                                System.currentTimeMillis(),
                                                TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))));
        Path ports = Path.of(arguments[1]);
        // Renamed, so that the file is never seen half written.
        Files.move(
                Files.write(
                        ports.resolveSibling("ports.new"),
                        List.of(
                                Integer.toString(daemon.callersPort()),
                                Integer.toString(daemon.readinessPort()),
                                Integer.toString(daemon.forwardingPort()))),
                ports,
                StandardCopyOption.ATOMIC_MOVE);
    }
}
