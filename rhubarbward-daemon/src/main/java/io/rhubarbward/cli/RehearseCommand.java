package io.rhubarbward.cli;

import io.rhubarbward.daemon.LocalFleet;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.JsonEventLog;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * {@code rhubarbward rehearse}: runs three routers with stand-ins, sends one of them a few requests
 * and exits.
 *
 * <p>The build runs it to record the classes that a router loads, so that a router starts quickly.
 */
final class RehearseCommand implements Command {
    private static final int ROUNDS = 20;

    @Override
    public void configure(Subparsers commands) {
        commands.addParser("rehearse")
                .help("run three routers with stand-ins, send one a few requests and exit")
                .setDefault(COMMAND_KEY, this);
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        EventLog events =
                new JsonEventLog(
                        "rhubarbward",
                        () -> "rehearsal",
                        () ->
                                new JsonEventLog.Clock(
                                        System.currentTimeMillis(),
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        try (LocalFleet fleet = LocalFleet.start(events)) {
            fleet.awaitReady();
            fleet.startMoreRouters();
            fleet.awaitRelay();
            for (int round = 0; round < ROUNDS; round++) {
                fleet.send("POST", "/plain/" + round, "plain-" + round);
                fleet.send("POST", "/stream/" + round, "stream-" + round);
                fleet.send("GET", "/nowhere/" + round, "lost-" + round);
            }
            return ExitCode.OK;
        } catch (IOException e) {
            return console.fail(ExitCode.FAILED, "rehearsal failed: " + e.getMessage());
        }
    }
}
