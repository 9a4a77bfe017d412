package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.GenerationReport;
import io.rhubarbward.config.GenerationStatusReader;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward config}: checks, applies, undoes and shows the configuration. */
final class ConfigCommand implements Command {
    private static final String ACTION_KEY = "action";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("config")
                        .help("check, apply, undo and show the configuration")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        Subparser check = addAction(actions, "check", "check settings files", this::check);
        addFileArguments(check);
        Subparser apply =
                addAction(
                        actions,
                        "apply",
                        "accept settings files as the next generation",
                        this::apply);
        addFileArguments(apply);
        PlatformCalls.addPlatformArgument(apply);
        addExpectedGenerationArgument(
                apply,
                "the generation that the files are based on; fail unless it is the newest"
                        + " (default: the newest)");
        Subparser undo =
                addAction(actions, "undo", "accept the previous configuration again", this::undo);
        PlatformCalls.addPlatformArgument(undo);
        addExpectedGenerationArgument(
                undo, "the generation to undo; fail unless it is the newest (default: the newest)");
        Subparser show =
                addAction(
                        actions, "show", "show a site's newest accepted configuration", this::show);
        PlatformCalls.addPlatformArgument(show);
        show.addArgument("--site").required(true);
        addStatusArguments(
                addAction(
                        actions,
                        "status",
                        "show which routers have a generation in force",
                        this::status));
    }

    private Subparser addAction(Subparsers actions, String name, String help, Action action) {
        return actions.addParser(name)
                .help(help)
                .setDefault(COMMAND_KEY, this)
                .setDefault(ACTION_KEY, action);
    }

    private static void addFileArguments(Subparser parser) {
        parser.addArgument("--base")
                .required(true)
                .metavar("FILE")
                .help("the settings file for all sites");
        parser.addArgument("--overlay")
                .metavar("SITE=FILE")
                .action(Arguments.append())
                .help("a site's overlay file; give it once for each site");
    }

    private static void addExpectedGenerationArgument(Subparser parser, String help) {
        parser.addArgument("--on").type(Long.class).metavar("GENERATION").help(help);
    }

    private static void addStatusArguments(Subparser status) {
        PlatformCalls.addPlatformArgument(status);
        status.addArgument("--generation")
                .type(Long.class)
                .help("the generation to report on (default: the newest accepted)");
        status.addArgument("--wait")
                .type(Integer.class)
                .setDefault(0)
                .metavar("SECONDS")
                .help("wait up to this long for it to be in force everywhere (default: 0)");
        status.addArgument("--json").action(Arguments.storeTrue());
    }

    private static OptionalLong optionalLong(Namespace arguments, String name) {
        Long value = arguments.getLong(name);
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Action action = arguments.get(ACTION_KEY);
        return action.run(arguments, console);
    }

    private ExitCode check(Namespace arguments, Console console) {
        return withFiles(
                arguments,
                console,
                files -> {
                    SettingsReader reader = new SettingsReader();
                    Map<String, SettingsText> overlays =
                            files.overlays().isEmpty()
                                    ? Map.of("base", new SettingsText("none", "{}"))
                                    : files.overlays();
                    for (SettingsText overlay : overlays.values()) {
                        Either<ConfigFailure, Settings> settings =
                                reader.read(List.of(files.base(), overlay));
                        if (settings.isLeft()) {
                            return fail(console, settings.getLeft());
                        }
                    }
                    console.print("settings are well: " + overlays.keySet());
                    return ExitCode.OK;
                });
    }

    private ExitCode apply(Namespace arguments, Console console) {
        return withFiles(
                arguments,
                console,
                files ->
                        runChange(
                                arguments,
                                console,
                                store ->
                                        store.apply(
                                                files.base(),
                                                files.overlays(),
                                                UUID.randomUUID().toString(),
                                                optionalLong(arguments, "on"))));
    }

    private ExitCode undo(Namespace arguments, Console console) {
        return runChange(
                arguments,
                console,
                store -> store.undo(UUID.randomUUID().toString(), optionalLong(arguments, "on")));
    }

    private static ExitCode runChange(
            Namespace arguments,
            Console console,
            Function<ConfigStore, CompletionStage<Either<ConfigFailure, Long>>> change) {
        return PlatformCalls.run(
                arguments,
                console,
                platform -> change.apply(new ConfigStore(platform.store())),
                generation -> {
                    console.print("accepted generation " + generation);
                    return ExitCode.OK;
                });
    }

    private ExitCode show(Namespace arguments, Console console) {
        return PlatformCalls.run(
                arguments,
                console,
                platform -> new ConfigStore(platform.store()).read(arguments.getString("site")),
                configuration -> {
                    console.printJson(configuration);
                    return ExitCode.OK;
                });
    }

    private ExitCode status(Namespace arguments, Console console) {
        return PlatformCalls.run(
                arguments,
                console,
                platform ->
                        new GenerationStatusReader(platform.store(), platform.timers())
                                .await(
                                        optionalLong(arguments, "generation"),
                                        Duration.ofSeconds(arguments.getInt("wait"))),
                report -> {
                    if (arguments.getBoolean("json")) {
                        console.printJson(report);
                    } else {
                        printReport(console, report);
                    }
                    return report.inForceEverywhere() ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
                });
    }

    private static void printReport(Console console, GenerationReport report) {
        console.print("generation " + report.generation());
        report.dataCentres()
                .forEach(
                        dataCentreReport ->
                                console.print(
                                        "%s: in force at %d of %d routers; behind: %s"
                                                .formatted(
                                                        dataCentreReport.dataCentre(),
                                                        dataCentreReport.routers()
                                                                - dataCentreReport.behind().size(),
                                                        dataCentreReport.routers(),
                                                        dataCentreReport.behind())));
    }

    private static ExitCode withFiles(
            Namespace arguments, Console console, Function<SettingsTexts, ExitCode> action) {
        Either<ConfigFailure, SettingsTexts> files =
                SettingsFiles.read(arguments.getString("base"))
                        .flatMap(
                                base ->
                                        SettingsFiles.readOverlays(overlayArguments(arguments))
                                                .map(
                                                        overlays ->
                                                                new SettingsTexts(base, overlays)));
        return files.fold(failure -> fail(console, failure), action);
    }

    private static List<String> overlayArguments(Namespace arguments) {
        List<String> overlays = arguments.getList("overlay");
        return overlays == null ? List.of() : overlays;
    }

    private static ExitCode fail(Console console, ConfigFailure failure) {
        return console.fail(ExitCode.of(failure), failure.message());
    }

    /** Runs one of the subcommands of {@code config}. */
    @FunctionalInterface
    private interface Action {
        ExitCode run(Namespace arguments, Console console);
    }

    /** The base file and the overlays, by site. */
    private record SettingsTexts(SettingsText base, Map<String, SettingsText> overlays) {}
}
