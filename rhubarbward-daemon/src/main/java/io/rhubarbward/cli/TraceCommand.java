package io.rhubarbward.cli;

import io.rhubarbward.replay.ReplaySite;
import io.rhubarbward.replay.TraceGenerator;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward trace}: generates a trace of a site's size from a seed. */
final class TraceCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("trace")
                        .help("generate a trace of a site's size and print it")
                        .setDefault(COMMAND_KEY, this);
        List<String> sites = Arrays.stream(ReplaySite.values()).map(ReplaySite::label).toList();
        parser.addArgument("site").choices(sites);
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("the seed of the generator (default: 1)");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        ReplaySite site =
                Arrays.stream(ReplaySite.values())
                        .filter(candidate -> candidate.label().equals(arguments.getString("site")))
                        .findFirst()
                        .orElseThrow();
        console.out().print(TraceGenerator.generate(site, arguments.getLong("seed")).text());
        return ExitCode.OK;
    }
}
