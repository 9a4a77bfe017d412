package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.daemon.PlatformConnection;
import io.rhubarbward.event.SystemEventLog;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Calls the platform at the address that the argument {@code --platform} gives. */
final class PlatformCalls {
    private PlatformCalls() {}

    static void addPlatformArgument(Subparser parser) {
        parser.addArgument("--platform").required(true).metavar("HOST:PORT");
    }

    /** Waits for the call to complete, then handles its result or prints its failure. */
    static <T> ExitCode run(
            Namespace arguments,
            Console console,
            Function<PlatformConnection, CompletionStage<Either<ConfigFailure, T>>> call,
            Function<T, ExitCode> onSuccess) {
        String address = arguments.getString("platform");
        try (PlatformConnection platform =
                new PlatformConnection(address, new SystemEventLog("rhubarbward"))) {
            Either<ConfigFailure, T> result = call.apply(platform).toCompletableFuture().join();
            return result.fold(
                    failure -> console.fail(ExitCode.of(failure), failure.message()), onSuccess);
        }
    }
}
