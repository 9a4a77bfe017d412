package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Fetches load reports from engines. */
public interface EngineClient {
    /** Fetches the engine's current load report. */
    CompletionStage<Either<EngineFailure, LoadReport>> load(BackendServer server);

    /** Why no load report could be fetched. */
    enum EngineFailure {
        UNREACHABLE,
        TIMEOUT,
        UNREADABLE
    }
}
