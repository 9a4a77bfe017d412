package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Asks engines about themselves. */
public interface EngineClient {
    /** Asks for the newest load report. */
    CompletionStage<Either<EngineFailure, LoadReport>> load(BackendServer server);

    /** Why an engine did not answer. */
    enum EngineFailure {
        UNREACHABLE,
        TIMEOUT,
        UNREADABLE
    }
}
