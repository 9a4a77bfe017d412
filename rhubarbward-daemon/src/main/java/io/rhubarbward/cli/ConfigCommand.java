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

/** {@code rhubarbward config}: checks, applies and shows the configuration. */
final class ConfigCommand implements Command {
    private static final String ACTION = "action";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("config")
                        .help("check, apply and show the configuration")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        Subparser check = action(actions, "check", "check settings files", this::check);
        addFiles(check);
        Subparser apply = action(actions, "apply", "accept settings files", this::apply);
        addFiles(apply);
        PlatformCalls.addArgument(apply);
        addOn(apply, "the generation that the files were made on; default the newest");
        Subparser undo = action(actions, "undo", "accept what was in force before", this::undo);
        PlatformCalls.addArgument(undo);
        addOn(undo, "the generation to be undone; default the newest");
        Subparser show = action(actions, "show", "show what is accepted", this::show);
        PlatformCalls.addArgument(show);
        show.addArgument("--site").required(true);
        addStatus(action(actions, "status", "show where it is in force", this::status));
    }

    private Subparser action(Subparsers actions, String name, String help, Action action) {
        return actions.addParser(name)
                .help(help)
                .setDefault(CHOSEN, this)
                .setDefault(ACTION, action);
    }

    private static void addFiles(Subparser parser) {
        parser.addArgument("--base").required(true).metavar("FILE").help("the base file");
        parser.addArgument("--overlay")
                .metavar("SITE=FILE")
                .action(Arguments.append())
                .help("a site's overlay; once for each site");
    }

    private static void addOn(Subparser parser, String help) {
        parser.addArgument("--on").type(Long.class).metavar("GENERATION").help(help);
    }

    private static void addStatus(Subparser status) {
        PlatformCalls.addArgument(status);
        status.addArgument("--generation").type(Long.class).help("default the newest accepted");
        status.addArgument("--wait")
                .type(Integer.class)
                .setDefault(0)
                .metavar("SECONDS")
                .help("wait so long at most until it is in force everywhere");
        status.addArgument("--json").action(Arguments.storeTrue());
    }

    private static OptionalLong optionalLong(Namespace arguments, String name) {
        Long value = arguments.getLong(name);
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Action action = arguments.get(ACTION);
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
                        Either<ConfigFailure, Settings> read =
                                reader.read(List.of(files.base(), overlay));
                        if (read.isLeft()) {
                            return fail(console, read.getLeft());
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
                        change(
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
        return change(
                arguments,
                console,
                store -> store.undo(UUID.randomUUID().toString(), optionalLong(arguments, "on")));
    }

    private static ExitCode change(
            Namespace arguments,
            Console console,
            Function<ConfigStore, CompletionStage<Either<ConfigFailure, Long>>> call) {
        return PlatformCalls.run(
                arguments,
                console,
                platform -> call.apply(new ConfigStore(platform.store())),
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
                        print(console, report);
                    }
                    return report.inForceEverywhere() ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
                });
    }

    private static void print(Console console, GenerationReport report) {
        console.print("generation " + report.generation());
        report.dataCentres()
                .forEach(
                        part ->
                                console.print(
                                        "%s: in force at %d of %d routers; behind: %s"
                                                .formatted(
                                                        part.dataCentre(),
                                                        part.routers() - part.behind().size(),
                                                        part.routers(),
                                                        part.behind())));
    }

    private static ExitCode withFiles(
            Namespace arguments, Console console, Function<Files, ExitCode> use) {
        Either<ConfigFailure, Files> files =
                SettingsFiles.read(arguments.getString("base"))
                        .flatMap(
                                base ->
                                        SettingsFiles.readOverlays(overlays(arguments))
                                                .map(overlays -> new Files(base, overlays)));
        return files.fold(failure -> fail(console, failure), use);
    }

    private static List<String> overlays(Namespace arguments) {
        List<String> given = arguments.getList("overlay");
        return given == null ? List.of() : given;
    }

    private static ExitCode fail(Console console, ConfigFailure failure) {
        return console.fail(ExitCode.of(failure), failure.message());
    }

    /** What an action does. */
    @FunctionalInterface
    private interface Action {
        ExitCode run(Namespace arguments, Console console);
    }

    /** The texts of the files named on the command line. */
    private record Files(SettingsText base, Map<String, SettingsText> overlays) {}
}
