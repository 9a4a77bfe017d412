package io.rhubarbward.move;

import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.testing.FakeBackends;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Routers before three engines of version 1 and two of version 2, under seeded traffic. */
final class RolloutFixture {
    static final String SERVICE = "assistant";
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String EMBEDDINGS_PATH = "/v1/embeddings";
    private static final Duration STEP = Duration.ofMillis(100);
    private static final String SETTINGS =
            """
            {
              "dataCentres": {"dc-a": {"state": "in"}},
              "accounts": {"acme": {"keySha256": "%s", "requestsPerSecond": 1000, "burst": 1000}},
              "services": {
                "assistant": {
                  "kind": "engine", "model": "m", "pathPrefix": "/v1/",
                  "repeatable": true, "concurrency": 16, "coldConcurrency": 2
                }
              },
              "backendServers": {
                "old-1": {"service": "assistant", "dataCentre": "dc-a", "address": "o1:1"},
                "old-2": {"service": "assistant", "dataCentre": "dc-a", "address": "o2:1"},
                "old-3": {"service": "assistant", "dataCentre": "dc-a", "address": "o3:1"},
                "new-1": {"service": "assistant", "dataCentre": "dc-a", "address": "n1:1",
                  "version": "2", "fencing": "refuses-old"},
                "new-2": {"service": "assistant", "dataCentre": "dc-a", "address": "n2:1",
                  "version": "2", "fencing": "ignores"}
              }
            }
            """
                    .formatted(Sha256.of(Site.KEY));

    private final Site mSite;
    private final SplittableRandom mRandom;
    private final RolloutStore mStore;
    private int mAnsweredCalls;
    private int mNewVersionCalls;
    private int mNewVersionCallsThisSecond;

    private RolloutFixture(int routers, long seed) {
        mSite = Site.start(routers);
        mRandom = new SplittableRandom(seed);
        List.of("old-1", "old-2", "old-3", "new-1", "new-2")
                .forEach(engine -> mSite.engines().idle(engine, "first"));
        mSite.apply(SETTINGS);
        mSite.advance(Duration.ofSeconds(8));
        mStore = new RolloutStore(mSite.store());
    }

    static RolloutFixture start(int routers, long seed) {
        return new RolloutFixture(routers, seed);
    }

    Site site() {
        return mSite;
    }

    RolloutStore store() {
        return mStore;
    }

    long now() {
        return mSite.timers().epochMillis();
    }

    RolloutPlan plan(Duration timeToFinish, Duration watchPeriod) {
        return new RolloutPlan(
                SERVICE,
                "1",
                "2",
                now(),
                now() + timeToFinish.toMillis(),
                RolloutPlan.DEFAULT_STAGES,
                5_000,
                watchPeriod.toMillis(),
                Map.of(EMBEDDINGS_PATH, JudgementRule.DEFAULT));
    }

    void start(RolloutPlan plan) {
        mStore.start(Rollout.planned("up", plan, "operator"));
        mSite.advance(Duration.ofSeconds(1));
    }

    Rollout rollout() {
        var read = mStore.read("up").toCompletableFuture();
        mSite.advance(Duration.ZERO);
        return read.join().get().rollout();
    }

    RolloutState state() {
        return rollout().state();
    }

    /** Sends 20 requests a second until the rollout is in the state or the limit has passed. */
    boolean driveUntil(RolloutState state, Duration limit, Behaviour behaviour) {
        long end = now() + limit.toMillis();
        while (now() < end && state() != state) {
            drive(Duration.ofSeconds(1), behaviour);
        }
        return state() == state;
    }

    void drive(Duration duration, Behaviour behaviour) {
        long end = now() + duration.toMillis();
        while (now() < end) {
            mNewVersionCallsThisSecond = now() % 1000 == 0 ? 0 : mNewVersionCallsThisSecond;
            send(behaviour);
            send(behaviour);
            mSite.advance(STEP);
        }
    }

    /** Returns the number of calls to the new version so far. */
    int newVersionCalls() {
        return mNewVersionCalls;
    }

    private void send(Behaviour behaviour) {
        String path = mRandom.nextInt(5) == 0 ? EMBEDDINGS_PATH : CHAT_PATH;
        String body = "{\"model\":\"m\",\"chat_id\":\"" + mRandom.nextInt(100_000) + "\"}";
        CallerRequest request = Site.request("POST", path, body);
        int router = mRandom.nextInt(mSite.routers().size());
        mSite.router(router).serve(request, new RecordingResponse());
        mSite.advance(Duration.ZERO);
        List<FakeBackends.Sent> sent = mSite.backends().sent();
        while (mAnsweredCalls < sent.size()) {
            answer(sent.get(mAnsweredCalls++), behaviour);
        }
    }

    private void answer(FakeBackends.Sent sent, Behaviour behaviour) {
        boolean newVersion = sent.server().startsWith("new");
        if (newVersion) {
            mNewVersionCalls++;
            mNewVersionCallsThisSecond++;
        }
        Call call =
                new Call(
                        newVersion,
                        sent.request().target(),
                        now(),
                        mNewVersionCallsThisSecond,
                        mRandom.nextDouble());
        Answer answer = behaviour.answer(call);
        mSite.timers()
                .after(
                        Duration.ofMillis(answer.millis()),
                        () -> sent.head(answer.status(), "application/json").part("{}").complete());
    }

    /** How the engines answer. */
    @FunctionalInterface
    interface Behaviour {
        Answer answer(Call call);
    }

    /** One call to an engine; {@code chance} is a random number from 0 to 1. */
    record Call(
            boolean newVersion,
            String path,
            long atMillis,
            int newCallsThisSecond,
            double chance) {}

    /** How a call is answered. */
    record Answer(int status, int millis) {
        static final Answer GOOD = new Answer(200, 50);
        static final Answer ERROR = new Answer(500, 50);
        static final Answer SLOW = new Answer(200, 3_000);
    }

    /** Answers successfully, except for one error in 100 calls. */
    static Answer good(Call call) {
        return call.chance() < 0.01 ? Answer.ERROR : Answer.GOOD;
    }
}
