package io.rhubarbward.testing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.engine.EngineClient;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/** Engines' reports, as the test states them; an engine without one does not answer. */
public final class FakeEngines implements EngineClient {
    private final Map<String, LoadReport> mReports = new HashMap<>();
    private final Map<String, Integer> mPollCounts = new HashMap<>();

    private static final int WARM_SERVED = 1_000_000;

    /** Reports an idle engine of the incarnation that has left its ramp behind. */
    public void idle(String engine, String incarnation) {
        mReports.put(engine, new LoadReport(incarnation, 0, 0, WARM_SERVED, 0));
    }

    public void report(String engine, LoadReport report) {
        mReports.put(engine, report);
    }

    public void silence(String engine) {
        mReports.remove(engine);
    }

    /** Returns how often the engine was asked. */
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
