package io.rhubarbward.cli;

import io.rhubarbward.daemon.PlatformConnection;
import io.rhubarbward.event.SystemEventLog;
import io.rhubarbward.move.Rollout;
import io.rhubarbward.move.RolloutFailure;
import io.rhubarbward.move.RolloutPlan;
import io.rhubarbward.move.RolloutStore;
import io.rhubarbward.move.StoredRollout;
import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code rhubarbward move}: starts, shows, awaits and undoes rollouts of a service version. */
final class MoveCommand implements Command {
    private static final String ACTION_KEY = "action";
    private static final String NAME = "name";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("move")
                        .help("start, show, await and undo rollouts of a service version")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        addAction(actions, "list", "list all rollouts", this::list);
        addNameArgument(
                addAction(actions, "show", "show a rollout's state and history", this::show));
        Subparser start = addAction(actions, "start", "start a rollout", this::start);
        addNameArgument(start);
        RolloutPlanArguments.configure(start);
        addNameArgument(
                addAction(
                        actions, "undo", "send all requests to the old version again", this::undo));
        Subparser await =
                addAction(
                        actions,
                        "wait",
                        "wait until a rollout is done, taken back or late",
                        this::await);
        addNameArgument(await);
        await.addArgument("--through-late")
                .action(Arguments.storeTrue())
                .help("keep waiting when the rollout is predicted to miss its deadline");
        await.addArgument("--limit-seconds").type(Integer.class).setDefault(Integer.MAX_VALUE);
    }

    private Subparser addAction(Subparsers actions, String name, String help, Action action) {
        Subparser parser =
                actions.addParser(name)
                        .help(help)
                        .setDefault(COMMAND_KEY, this)
                        .setDefault(ACTION_KEY, action);
        parser.addArgument("--platform").required(true).metavar("HOST:PORT");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        return parser;
    }

    private static void addNameArgument(Subparser parser) {
        parser.addArgument(NAME).help("the rollout's name");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Action action = arguments.get(ACTION_KEY);
        try (PlatformConnection platform =
                new PlatformConnection(
                        arguments.getString("platform"), new SystemEventLog("rhubarbward"))) {
            return action.run(arguments, console, platform);
        }
    }

    private ExitCode list(Namespace arguments, Console console, PlatformConnection platform) {
        return callStore(
                console,
                platform,
                RolloutStore::list,
                storedRollouts -> {
                    List<Rollout> rollouts =
                            storedRollouts.stream().map(StoredRollout::rollout).toList();
                    if (isJsonRequested(arguments)) {
                        console.printJson(rollouts);
                    } else {
                        RolloutTable.summary(rollouts).forEach(console::print);
                    }
                    return ExitCode.OK;
                });
    }

    private ExitCode show(Namespace arguments, Console console, PlatformConnection platform) {
        return callStore(
                console,
                platform,
                store -> store.read(arguments.getString(NAME)),
                stored -> {
                    print(stored.rollout(), arguments, console);
                    return ExitCode.OK;
                });
    }

    private ExitCode start(Namespace arguments, Console console, PlatformConnection platform) {
        RolloutPlan plan;
        try {
            plan = RolloutPlanArguments.plan(arguments, platform.timers().epochMillis());
        } catch (IllegalArgumentException e) {
            return console.fail(ExitCode.USAGE, String.valueOf(e.getMessage()));
        }
        Rollout planned = Rollout.planned(arguments.getString(NAME), plan, newNonce());
        return callStore(
                console,
                platform,
                store -> store.start(planned),
                stored -> {
                    print(stored.rollout(), arguments, console);
                    return ExitCode.OK;
                });
    }

    private ExitCode undo(Namespace arguments, Console console, PlatformConnection platform) {
        long now = platform.timers().epochMillis();
        return callStore(
                console,
                platform,
                store -> store.undo(arguments.getString(NAME), newNonce(), now),
                stored -> {
                    print(stored.rollout(), arguments, console);
                    return ExitCode.OK;
                });
    }

    private ExitCode await(Namespace arguments, Console console, PlatformConnection platform) {
        RolloutWait wait =
                new RolloutWait(
                        platform,
                        arguments.getBoolean("through_late"),
                        arguments.getInt("limit_seconds"));
        return wait.await(arguments.getString(NAME))
                .fold(
                        failure -> fail(console, failure),
                        outcome -> {
                            print(outcome.rollout(), arguments, console);
                            return outcome.exitCode();
                        });
    }

    private static void print(Rollout rollout, Namespace arguments, Console console) {
        if (isJsonRequested(arguments)) {
            console.printJson(rollout);
        } else {
            RolloutTable.history(rollout).forEach(console::print);
        }
    }

    private static boolean isJsonRequested(Namespace arguments) {
        return arguments.getBoolean("json");
    }

    private static String newNonce() {
        return UUID.randomUUID().toString();
    }

    private static <T> ExitCode callStore(
            Console console,
            PlatformConnection platform,
            Function<RolloutStore, CompletionStage<Either<RolloutFailure, T>>> call,
            Function<T, ExitCode> onSuccess) {
        return call.apply(new RolloutStore(platform.store()))
                .toCompletableFuture()
                .join()
                .fold(failure -> fail(console, failure), onSuccess);
    }

    private static ExitCode fail(Console console, RolloutFailure failure) {
        return console.fail(ExitCode.of(failure), failure.message());
    }

    /** Runs one of the subcommands of {@code move}. */
    @FunctionalInterface
    private interface Action {
        ExitCode run(Namespace arguments, Console console, PlatformConnection platform);
    }
}
