package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.Configuration;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.daemon.PlatformConnection;
import io.rhubarbward.event.SystemEventLog;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
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
        addPlatform(apply);
        Subparser show = action(actions, "show", "show what is accepted", this::show);
        addPlatform(show);
        show.addArgument("--site").required(true);
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

    private static void addPlatform(Subparser parser) {
        parser.addArgument("--platform").required(true).metavar("HOST:PORT");
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
                        withStore(
                                arguments,
                                console,
                                store ->
                                        store.apply(
                                                files.base(),
                                                files.overlays(),
                                                UUID.randomUUID().toString()),
                                generation -> console.print("accepted generation " + generation)));
    }

    private ExitCode show(Namespace arguments, Console console) {
        return this.<Configuration>withStore(
                arguments,
                console,
                store -> store.read(arguments.getString("site")),
                console::printJson);
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

    private <T> ExitCode withStore(
            Namespace arguments,
            Console console,
            Function<ConfigStore, CompletionStage<Either<ConfigFailure, T>>> call,
            java.util.function.Consumer<T> show) {
        String address = arguments.getString("platform");
        try (PlatformConnection platform =
                new PlatformConnection(address, new SystemEventLog("rhubarbward"))) {
            Either<ConfigFailure, T> result =
                    call.apply(new ConfigStore(platform.store())).toCompletableFuture().join();
            return result.fold(
                    failure -> fail(console, failure),
                    value -> {
                        show.accept(value);
                        return ExitCode.OK;
                    });
        }
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
