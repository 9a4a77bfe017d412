package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.daemon.PlatformConnection;
import io.rhubarbward.event.SystemEventLog;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lets a command call the platform that its command line names. */
final class PlatformCalls {
    private PlatformCalls() {}

    static void addArgument(Subparser parser) {
        parser.addArgument("--platform").required(true).metavar("HOST:PORT");
    }

    /** Makes the call, waits for its end, and shows the result or the failure. */
    static <T> ExitCode run(
            Namespace arguments,
            Console console,
            Function<PlatformConnection, CompletionStage<Either<ConfigFailure, T>>> call,
            Function<T, ExitCode> show) {
        String address = arguments.getString("platform");
        try (PlatformConnection platform =
                new PlatformConnection(address, new SystemEventLog("rhubarbward"))) {
            Either<ConfigFailure, T> result = call.apply(platform).toCompletableFuture().join();
            return result.fold(
                    failure -> console.fail(ExitCode.of(failure), failure.message()), show);
        }
    }
}
