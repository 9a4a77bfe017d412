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

/** {@code rhubarbward move}: starts, shows, awaits and undoes planned rollouts. */
final class MoveCommand implements Command {
    private static final String ACTION = "action";
    private static final String NAME = "name";

    @Override
    public void configure(Subparsers commands) {
        Subparsers actions =
                commands.addParser("move")
                        .help("start, show, await and undo planned rollouts")
                        .addSubparsers()
                        .title("actions")
                        .metavar("ACTION");
        action(actions, "list", "list all rollouts", this::list);
        addName(action(actions, "show", "show a rollout's course", this::show));
        Subparser start = action(actions, "start", "start a rollout", this::start);
        addName(start);
        PlanArguments.configure(start);
        addName(action(actions, "undo", "give all work back to the old version", this::undo));
        Subparser await =
                action(actions, "wait", "wait until a rollout is done, back or late", this::await);
        addName(await);
        await.addArgument("--through-late")
                .action(Arguments.storeTrue())
                .help("go on when the rollout is predicted to miss its time");
        await.addArgument("--limit-seconds").type(Integer.class).setDefault(Integer.MAX_VALUE);
    }

    private Subparser action(Subparsers actions, String name, String help, Action action) {
        Subparser parser =
                actions.addParser(name)
                        .help(help)
                        .setDefault(CHOSEN, this)
                        .setDefault(ACTION, action);
        parser.addArgument("--platform").required(true).metavar("HOST:PORT");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("write JSON");
        return parser;
    }

    private static void addName(Subparser parser) {
        parser.addArgument(NAME).help("the rollout's name");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        Action action = arguments.get(ACTION);
        try (PlatformConnection platform =
                new PlatformConnection(
                        arguments.getString("platform"), new SystemEventLog("rhubarbward"))) {
            return action.run(arguments, console, platform);
        }
    }

    private ExitCode list(Namespace arguments, Console console, PlatformConnection platform) {
        return call(
                console,
                platform,
                RolloutStore::list,
                all -> {
                    List<Rollout> rollouts = all.stream().map(StoredRollout::rollout).toList();
                    if (json(arguments)) {
                        console.printJson(rollouts);
                    } else {
                        MoveTable.summary(rollouts).forEach(console::print);
                    }
                    return ExitCode.OK;
                });
    }

    private ExitCode show(Namespace arguments, Console console, PlatformConnection platform) {
        return call(
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
            plan = PlanArguments.plan(arguments, platform.timers().epochMillis());
        } catch (IllegalArgumentException e) {
            return console.fail(ExitCode.USAGE, String.valueOf(e.getMessage()));
        }
        Rollout planned = Rollout.planned(arguments.getString(NAME), plan, nonce());
        return call(
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
        return call(
                console,
                platform,
                store -> store.undo(arguments.getString(NAME), nonce(), now),
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
                        end -> {
                            print(end.rollout(), arguments, console);
                            return end.code();
                        });
    }

    private static void print(Rollout rollout, Namespace arguments, Console console) {
        if (json(arguments)) {
            console.printJson(rollout);
        } else {
            MoveTable.course(rollout).forEach(console::print);
        }
    }

    private static boolean json(Namespace arguments) {
        return arguments.getBoolean("json");
    }

    private static String nonce() {
        return UUID.randomUUID().toString();
    }

    private static <T> ExitCode call(
            Console console,
            PlatformConnection platform,
            Function<RolloutStore, CompletionStage<Either<RolloutFailure, T>>> call,
            Function<T, ExitCode> show) {
        return call.apply(new RolloutStore(platform.store()))
                .toCompletableFuture()
                .join()
                .fold(failure -> fail(console, failure), show);
    }

    private static ExitCode fail(Console console, RolloutFailure failure) {
        return console.fail(ExitCode.of(failure), failure.message());
    }

    /** What an action does. */
    @FunctionalInterface
    private interface Action {
        ExitCode run(Namespace arguments, Console console, PlatformConnection platform);
    }
}
