package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.DataCentre;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * {@code rhubarbward datacentre}: takes data centres out of service and back in, and lists them.
 */
final class DataCentreCommand implements Command {
    private static final String STATE_KEY = "order";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("datacentre")
                        .help("take a data centre out of service or back in, or list all")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        addStateAction(
                actions, "out", "stop sending new requests to a data centre", DataCentre.State.OUT);
        addStateAction(
                actions, "in", "send new requests to a data centre again", DataCentre.State.IN);
        Subparser list = actions.addParser("list").help("show every data centre's state");
        list.setDefault(COMMAND_KEY, this);
        PlatformCalls.addPlatformArgument(list);
    }

    private void addStateAction(
            Subparsers actions, String name, String help, DataCentre.State state) {
        Subparser parser =
                actions.addParser(name)
                        .help(help)
                        .setDefault(COMMAND_KEY, this)
                        .setDefault(STATE_KEY, state);
        parser.addArgument("name").metavar("NAME");
        PlatformCalls.addPlatformArgument(parser);
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        return arguments.get(STATE_KEY) instanceof DataCentre.State state
                ? setState(arguments, console, state)
                : list(arguments, console);
    }

    private static ExitCode setState(Namespace arguments, Console console, DataCentre.State state) {
        return PlatformCalls.run(
                arguments,
                console,
                platform ->
                        new ConfigStore(platform.store())
                                .dataCentres()
                                .setState(
                                        arguments.getString("name"),
                                        state,
                                        UUID.randomUUID().toString()),
                generation -> {
                    console.print("accepted generation " + generation);
                    return ExitCode.OK;
                });
    }

    private static ExitCode list(Namespace arguments, Console console) {
        return PlatformCalls.run(
                arguments,
                console,
                platform -> new ConfigStore(platform.store()).dataCentres().list(),
                sites -> {
                    sites.forEach((site, states) -> printStates(console, site, states));
                    return ExitCode.OK;
                });
    }

    private static void printStates(Console console, String site, Map<String, String> states) {
        states.forEach((dataCentre, state) -> console.print(site + " " + dataCentre + " " + state));
    }
}
