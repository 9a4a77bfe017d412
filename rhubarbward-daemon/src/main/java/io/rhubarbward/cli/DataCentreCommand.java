package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.DataCentre;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward datacentre}: takes data centres out and back in, and lists them. */
final class DataCentreCommand implements Command {
    private static final String ORDER = "order";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("datacentre")
                        .help("take a data centre out or back in")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        addOrder(actions, "out", "give a data centre no new work", DataCentre.State.OUT);
        addOrder(actions, "in", "let a data centre take work again", DataCentre.State.IN);
        Subparser list = actions.addParser("list").help("show every data centre's state");
        list.setDefault(CHOSEN, this);
        PlatformCalls.addArgument(list);
    }

    private void addOrder(Subparsers actions, String name, String help, DataCentre.State state) {
        Subparser parser =
                actions.addParser(name)
                        .help(help)
                        .setDefault(CHOSEN, this)
                        .setDefault(ORDER, state);
        parser.addArgument("name").metavar("NAME");
        PlatformCalls.addArgument(parser);
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        return arguments.get(ORDER) instanceof DataCentre.State state
                ? order(arguments, console, state)
                : list(arguments, console);
    }

    private static ExitCode order(Namespace arguments, Console console, DataCentre.State state) {
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
                    sites.forEach((site, states) -> print(console, site, states));
                    return ExitCode.OK;
                });
    }

    private static void print(Console console, String site, Map<String, String> states) {
        states.forEach((name, state) -> console.print(site + " " + name + " " + state));
    }
}
