package io.rhubarbward.replay;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.EngineClient;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;

/** A replay's simulated backend servers, with a record of each request that ran on them. */
final class ReplayBackends implements BackendClient, EngineClient {
    static final String ID_HEADER = "x-request-id";
    static final String CHAT_HEADER = "x-chat-id";
    private static final long CACHE_HIT_FIRST_TOKEN_MILLIS = 60;
    private static final long CACHE_MISS_FIRST_TOKEN_MILLIS = 400;
    private static final long TOKEN_MILLIS = 25;
    private static final int COLD_START_COMPLETIONS = 4;
    private static final int FULL_LOAD_COMPLETIONS = 120;

    private final TimerService mTimers;
    private final PromiseChecker mPromises;
    private final Measures mMeasures;
    private final VersionFaults mVersionFaults;
    private final Map<String, ReplayServer> mServers = new TreeMap<>();
    private final Map<String, Closing> mClosingByServer = new HashMap<>();
    private final Map<String, Integer> mRunCountByKey = new HashMap<>();
    private final Map<String, String> mFirstRunIdByKey = new HashMap<>();
    private final Map<String, Integer> mTokensById = new HashMap<>();
    private final Map<String, String> mKeysById = new HashMap<>();
    private final Set<String> mStartedIds = new HashSet<>();

    ReplayBackends(
            TimerService timers,
            Settings settings,
            int coldConcurrency,
            PromiseChecker promises,
            Measures measures) {
        mTimers = timers;
        mPromises = promises;
        mMeasures = measures;
        mVersionFaults = new VersionFaults(promises);
        settings.backendServers()
                .values()
                .forEach(server -> add(server, settings, coldConcurrency));
    }

    private void add(BackendServer server, Settings settings, int coldConcurrency) {
        Service service = Objects.requireNonNull(settings.services().get(server.service()));
        boolean isEngine = service.kind() == Service.Kind.ENGINE;
        mServers.put(
                server.name(),
                new ReplayServer(
                        server.name(),
                        coldConcurrency,
                        isEngine ? COLD_START_COMPLETIONS : 0,
                        isEngine ? FULL_LOAD_COMPLETIONS : 0));
    }

    /** Registers a request of the trace, before a router gets it. */
    void register(TraceEvent.Request request) {
        mTokensById.put(request.id(), request.tokens());
        if (request.key() != null) {
            mKeysById.put(request.id(), request.account() + "/" + request.key());
        }
    }

    /**
     * Returns whether the body is the whole answer to the request itself. A request with an
     * idempotency key that ran before gets the answer of the key's first run.
     */
    boolean isExpectedAnswer(String id, String body) {
        String key = mKeysById.get(id);
        String runId = key == null ? id : mFirstRunIdByKey.getOrDefault(key, id);
        return body.equals(ReplayRun.wholeAnswer(runId));
    }

    /** From the given time on, a request that starts on the server breaks the promise. */
    void closeToNewWork(String server, long fromMillis, Promise promise) {
        mClosingByServer.put(server, new Closing(fromMillis, promise));
    }

    /** Returns whether the server is closed to new work, or will be at a set time. */
    boolean closedToNewWork(String server) {
        return mClosingByServer.containsKey(server);
    }

    /** Allows new work on the server again. */
    void openToNewWork(String server) {
        mClosingByServer.remove(server);
    }

    VersionFaults versionFaults() {
        return mVersionFaults;
    }

    /** Restarts the server's process; its running requests lose their connections. */
    void restart(String server) {
        serverNamed(server).restart().forEach(ReplayRun::loseConnection);
    }

    boolean hasStarted(String id) {
        return mStartedIds.contains(id);
    }

    Iterable<ReplayServer> servers() {
        return mServers.values();
    }

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        ReplayServer server = serverNamed(request.server().name());
        String id = request.headers().first(ID_HEADER).orElse("unknown");
        ReplayRun run = new ReplayRun(id, listener, mTimers, server::remove);
        boolean cacheHit = server.add(run, request.headers().first(CHAT_HEADER).orElse(id));
        mStartedIds.add(id);
        mPromises.recordEvent("run " + id + " on " + server.name());
        checkStart(server, id);
        request.headers()
                .first(CHAT_HEADER)
                .ifPresent(chat -> mMeasures.countChatRequest(chat, cacheHit));
        long otherTokensMillis = TOKEN_MILLIS * mTokensById.getOrDefault(id, 1);
        if (mVersionFaults.fails(request.server().version(), id, mTimers.nowMillis())) {
            run.answerWithError(CACHE_HIT_FIRST_TOKEN_MILLIS);
        } else {
            run.answer(
                    cacheHit ? CACHE_HIT_FIRST_TOKEN_MILLIS : CACHE_MISS_FIRST_TOKEN_MILLIS,
                    otherTokensMillis);
        }
        return run;
    }

    private void checkStart(ReplayServer server, String id) {
        mPromises.check(
                Promise.COLD_SPARED,
                !server.overloadedCold(),
                () -> server.name() + " is cold and carries " + server.running());
        Closing closing = mClosingByServer.get(server.name());
        mClosingByServer.values().stream()
                .map(Closing::promise)
                .distinct()
                .forEach(
                        promise ->
                                mPromises.check(
                                        promise,
                                        closing == null
                                                || closing.promise() != promise
                                                || mTimers.nowMillis() < closing.fromMillis(),
                                        () -> server.name() + " got " + id + ", " + closing));
        String key = mKeysById.get(id);
        if (key != null) {
            mFirstRunIdByKey.putIfAbsent(key, id);
            int runs = mRunCountByKey.merge(key, 1, Integer::sum);
            mPromises.check(Promise.RUN_ONCE, runs <= 1, () -> key + " ran " + runs + " times");
        }
    }

    @Override
    public CompletionStage<Either<EngineFailure, LoadReport>> load(BackendServer server) {
        return EitherStage.completed(Either.right(serverNamed(server.name()).report()));
    }

    private ReplayServer serverNamed(String server) {
        return Objects.requireNonNull(mServers.get(server), server);
    }

    /** The time from which a server must get no new work, and the promise that says so. */
    private record Closing(long fromMillis, Promise promise) {}
}
