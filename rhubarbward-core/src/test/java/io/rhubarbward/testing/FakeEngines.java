package io.rhubarbward.testing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.engine.EngineClient;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/** Answers with the load reports that the test sets; without one, the poll times out. */
public final class FakeEngines implements EngineClient {
    private final Map<String, LoadReport> mReports = new HashMap<>();
    private final Map<String, Integer> mPollCounts = new HashMap<>();

    private static final int SERVED_WHEN_WARM = 1_000_000;

    /** Lets the engine report no load, and so many served requests that it is not cold any more. */
    public void idle(String engine, String incarnation) {
        mReports.put(engine, new LoadReport(incarnation, 0, 0, SERVED_WHEN_WARM, 0));
    }

    public void report(String engine, LoadReport report) {
        mReports.put(engine, report);
    }

    public void silence(String engine) {
        mReports.remove(engine);
    }

    /** Returns how often the engine's load was requested. */
    public int pollCount(String engine) {
        return mPollCounts.getOrDefault(engine, 0);
    }

    @Override
    public CompletionStage<Either<EngineFailure, LoadReport>> load(BackendServer server) {
        mPollCounts.merge(server.name(), 1, Integer::sum);
        LoadReport report = mReports.get(server.name());
        return EitherStage.completed(
                report == null ? Either.left(EngineFailure.TIMEOUT) : Either.right(report));
    }
}
