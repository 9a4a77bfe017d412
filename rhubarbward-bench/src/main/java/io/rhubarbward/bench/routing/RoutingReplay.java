package io.rhubarbward.bench.routing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.routing.RouteQuery;
import io.rhubarbward.routing.RoutingPolicy;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Replays returning chats over nine routers' real policies and registries on virtual time.
 *
 * <p>Each chat comes back after a pause to whichever router the balancer picks. A permit holds each
 * engine to its capacity, as the quota slice does; the engine's own count stands for its custodian.
 * Prints one table row for each policy, lag and kind of run.
 */
public final class RoutingReplay {
    private static final long SEED = 20_260;
    private static final int ROUTERS = 9;
    private static final int ENGINES = 13;
    private static final int CACHED_CHATS = 150;
    private static final int CHATS = 4_000;
    private static final Duration WARM_UP = Duration.ofSeconds(180);
    private static final Duration LENGTH = Duration.ofSeconds(780);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration CHURN_PERIOD = Duration.ofSeconds(120);
    private static final Duration DOWN = Duration.ofSeconds(20);
    private static final double SHORT_PAUSES = 0.8;
    private static final int SHORT_PAUSE_MILLIS = 30_000;
    private static final int LONG_PAUSE_MILLIS = 300_000;
    private static final int HIT_MILLIS = 1_000;
    private static final int MISS_MILLIS = 2_500;
    private static final int SAMPLES_PER_WINDOW = 10;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final ReplayFigures mFigures = new ReplayFigures(ENGINES * CACHED_CHATS);
    private final Map<String, ReplayEngine> mEngines = new TreeMap<>();
    private final Settings mSettings;
    private final Service mService;
    private final long mLagMillis;
    private final boolean mBoundedByCustodian;
    private final List<Router> mRouters;
    private final double[] mWindow = new double[ENGINES];
    private int mSamples;
    private int mChurned;

    private RoutingReplay(ReplayPolicy policy, long lagMillis) {
        mLagMillis = lagMillis;
        mBoundedByCustodian = policy.boundedByCustodian();
        mSettings = settings(policy.multiple());
        mService = Objects.requireNonNull(mSettings.services().get("assistant"));
        IntStream.range(0, ENGINES)
                .mapToObj(i -> new ReplayEngine("engine-" + i, CACHED_CHATS))
                .forEach(engine -> mEngines.put(engine.name(), engine));
        mRouters = IntStream.range(0, ROUTERS).mapToObj(i -> new Router(policy.create())).toList();
    }

    /** Prints a table as it stands in docs/design/routing.md. */
    public static void main(String[] args) {
        System.out.println(
                "| run | reports late by | policy | reuse | skew | skew 95% | refused |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (boolean churn : new boolean[] {false, true}) {
            for (int lag : new int[] {1, 10}) {
                for (ReplayPolicy policy : ReplayPolicy.values()) {
                    String row = new RoutingReplay(policy, lag * 1000L).run(churn);
                    System.out.printf(
                            "| %s | %d s | %s | %s |%n",
                            churn ? "churn" : "steady", lag, policy, row);
                }
            }
        }
    }

    private String run(boolean churn) {
        IntStream.range(0, CHATS).forEach(this::pause);
        mTimers.every(SECOND, this::report);
        mTimers.every(SECOND.dividedBy(SAMPLES_PER_WINDOW), this::sample);
        if (churn) {
            mTimers.every(CHURN_PERIOD, this::restartNext);
        }
        mTimers.advance(LENGTH);
        return mFigures.row();
    }

    private void pause(int chat) {
        int mean = mRandom.nextDouble() < SHORT_PAUSES ? SHORT_PAUSE_MILLIS : LONG_PAUSE_MILLIS;
        long millis = (long) (-Math.log(1 - mRandom.nextDouble()) * mean);
        mTimers.after(Duration.ofMillis(millis), () -> turn(chat));
    }

    private void turn(int chat) {
        Router router = mRouters.get(mRandom.nextInt(ROUTERS));
        Optional<ReplayEngine> engine = router.choose("chat-" + chat);
        boolean hit = engine.map(chosen -> chosen.start(chat)).orElse(false);
        boolean counted = mTimers.nowMillis() > WARM_UP.toMillis();
        mFigures.turn(chat, counted, engine.isPresent(), hit);
        double work = (hit ? HIT_MILLIS : MISS_MILLIS) * (0.5 + mRandom.nextDouble());
        engine.ifPresent(chosen -> router.send(chosen, (long) work));
        pause(chat);
    }

    private void report() {
        long now = mTimers.nowMillis();
        mEngines.values().forEach(engine -> engine.record(now));
        mEngines.values()
                .forEach(
                        engine ->
                                engine.report(now, mLagMillis)
                                        .ifPresent(
                                                dated ->
                                                        mRouters.forEach(
                                                                r -> r.take(engine, dated))));
    }

    private void sample() {
        int index = 0;
        for (ReplayEngine engine : mEngines.values()) {
            mWindow[index++] += engine.running();
        }
        if (++mSamples % SAMPLES_PER_WINDOW == 0) {
            if (mTimers.nowMillis() > WARM_UP.toMillis()) {
                double sum = IntStream.range(0, ENGINES).mapToDouble(i -> mWindow[i]).sum();
                double largest =
                        IntStream.range(0, ENGINES).mapToDouble(i -> mWindow[i]).max().orElse(0);
                long up = mEngines.values().stream().filter(ReplayEngine::up).count();
                mFigures.window(largest, sum / up);
            }
            java.util.Arrays.fill(mWindow, 0);
        }
    }

    private void restartNext() {
        String name = "engine-" + mChurned++ % ENGINES;
        ReplayEngine engine = Objects.requireNonNull(mEngines.get(name));
        engine.stop();
        mTimers.after(DOWN, engine::begin);
    }

    private static String engine(int index) {
        String place = "\"dataCentre\": \"dc-%d\", \"address\": \"e:%d\"";
        return ("\"engine-%d\": {\"service\": \"assistant\", " + place + "}")
                .formatted(index, index % 3, index + 1);
    }

    private static Settings settings(double multiple) {
        String engines =
                IntStream.range(0, ENGINES)
                        .mapToObj(RoutingReplay::engine)
                        .collect(Collectors.joining(","));
        String text =
                """
                {
                  "routing": {"boundedLoadMultiple": %s},
                  "dataCentres": {
                    "dc-0": {"state": "in"}, "dc-1": {"state": "in"}, "dc-2": {"state": "in"}
                  },
                  "services": {"assistant": {"kind": "engine", "model": "m", "pathPrefix": "/"}},
                  "backendServers": {%s}
                }
                """
                        .formatted(multiple, engines);
        return new SettingsReader().read(List.of(new SettingsText("base.json", text))).get();
    }

    /** One of the routers: its view of the engines and its policy. */
    private final class Router {
        private final BackendRegistry mRegistry = new BackendRegistry(EventLog.none(), mTimers);
        private final RoutingPolicy mPolicy;

        Router(RoutingPolicy policy) {
            mPolicy = policy;
            mRegistry.configure(mSettings);
        }

        void take(ReplayEngine engine, ReplayEngine.Dated dated) {
            if (dated.up()) {
                mRegistry.observe(engine.name(), dated.report(), dated.atMillis());
            } else {
                mRegistry.loadReportMissed(engine.name());
            }
        }

        Optional<ReplayEngine> choose(String chat) {
            RouteQuery query = new RouteQuery(mService, Optional.of(chat), "dc-0");
            return mPolicy.candidates(query, mSettings, mRegistry.servers("assistant")).stream()
                    .map(BackendServer::name)
                    .map(name -> Objects.requireNonNull(mEngines.get(name)))
                    .filter(engine -> engine.up())
                    .filter(engine -> engine.running() < granted(engine))
                    .findFirst();
        }

        private int granted(ReplayEngine engine) {
            return mBoundedByCustodian
                    ? mRegistry.capacity(engine.name())
                    : mRegistry.status(engine.name()).orElseThrow().capacity();
        }

        void send(ReplayEngine engine, long workMillis) {
            int incarnation = engine.incarnation();
            mRegistry.requestSent(engine.name());
            mTimers.after(
                    Duration.ofMillis(workMillis),
                    () -> {
                        mRegistry.requestEnded(engine.name());
                        engine.finish(incarnation);
                    });
        }
    }
}
