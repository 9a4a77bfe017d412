package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.PlacementQuery;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerLoad;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakePeers;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Many routers in front of few plain servers, with the real exchange of loads on one virtual clock.
 * Each router has less than one place of each server and hears of the others' requests late.
 */
final class UnevenPlainServersTest {
    private static final int RESPONSE_MILLIS = 250;
    private static final int WARM_UP_MILLIS = 2000;
    private static final int RUN_MILLIS = 10_000;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final FakePeers mPeers = new FakePeers(mTimers);
    private final Map<String, RouterPresence> mListed = new TreeMap<>();
    private final List<Router> mRouters = new ArrayList<>();

    private final class Router {
        private final ServerTable mTable = new ServerTable(mTimers, EventLog.none());
        private final String mName;
        private final PlacementPolicy mPolicy;

        Router(String name, String dataCentre, int servers) {
            mName = name;
            for (int index = 0; index < servers; index++) {
                mTable.onAdded(ListedServers.server("o-" + index, "orders", "dc-" + index));
            }
            mTable.onAdded(ListedServers.server("e-1", "chat", "dc-0"));
            mPolicy =
                    new PlacementPolicy(
                            dataCentre,
                            mTimers,
                            mTable,
                            new FleetLimitSplitter(name, mListed::keySet),
                            evacuated -> false,
                            VersionChoice.ANY);
            FleetRollouts rollouts =
                    new FleetRollouts(
                            0.1,
                            mTable,
                            () -> false,
                            (rollout, target, state, revision) ->
                                    CompletableFuture.completedStage(false),
                            mTimers,
                            EventLog.none());
            new LoadExchange(
                            name,
                            dataCentre,
                            () -> mListed,
                            () -> aggregator(dataCentre),
                            mPeers.endpoint(name),
                            new ExchangedState(
                                    new CrashSuspects(mTimers, EventLog.none()),
                                    rollouts,
                                    mTable,
                                    new AccountUsage(mTimers),
                                    service -> false),
                            mTimers)
                    .start();
        }

        private Optional<Peer> aggregator(String dataCentre) {
            return RelaySelection.inOrderOfPreference(mListed, dataCentre).stream()
                    .findFirst()
                    .filter(peer -> !peer.vm().equals(mName));
        }

        void stateSlowdown() {
            mTable.servers("chat")
                    .forEach(server -> mTable.recordLoad(server, new ServerLoad(1, 0, 8, 2.5)));
        }

        TrackedServer send(double unitHash) {
            Placement placement =
                    mPolicy.place(
                            new PlacementQuery("orders", Optional.empty(), 0, unitHash, Set.of()),
                            Catalogs.PLAIN_SERVICE);
            TrackedServer server = ((Placement.Chosen) placement).server();
            mTable.recordSend(server);
            return server;
        }
    }

    /** The busiest server, on average over time as a multiple of the mean, and over the bound. */
    private record Outcome(double busiest, double shareOverBound) {}

    private Outcome run(Load load, boolean slowdownsStated) {
        for (int index = 0; index < load.routers(); index++) {
            String dataCentre = "dc-" + index % load.dataCentres();
            mListed.put("front-" + index, new RouterPresence(dataCentre, "front-" + index, 1));
            mRouters.add(new Router("front-" + index, dataCentre, load.servers()));
        }
        mTimers.advance(Duration.ofSeconds(1));
        if (slowdownsStated) {
            mRouters.forEach(Router::stateSlowdown);
        }
        SplittableRandom random = new SplittableRandom(load.seed());
        Map<String, Integer> open = new TreeMap<>();
        int sent = 0;
        int overBound = 0;
        double busiestSum = 0;
        double meanSum = 0;
        for (int millis = 0; millis < RUN_MILLIS; millis++) {
            for (int dataCentre = 0; dataCentre < load.dataCentres(); dataCentre++) {
                if (random.nextDouble() * 1000 >= load.perSecond(dataCentre, millis)) {
                    continue;
                }
                int inDataCentre = random.nextInt(load.routers() / load.dataCentres());
                Router router = mRouters.get(inDataCentre * load.dataCentres() + dataCentre);
                TrackedServer server = router.send(random.nextDouble());
                String name = server.server().name();
                int held = open.merge(name, 1, Integer::sum);
                double mean = mean(open, load);
                if (millis >= WARM_UP_MILLIS) {
                    sent++;
                    overBound += held > 2 * mean + 3 ? 1 : 0;
                }
                mTimers.after(
                        Duration.ofMillis(RESPONSE_MILLIS / 2 + random.nextInt(RESPONSE_MILLIS)),
                        () -> {
                            open.merge(name, -1, Integer::sum);
                            router.mTable.recordResult(server, SendResult.ANSWERED, Duration.ZERO);
                        });
            }
            if (millis >= WARM_UP_MILLIS) {
                busiestSum += open.values().stream().mapToInt(Integer::intValue).max().orElse(0);
                meanSum += mean(open, load);
            }
            mTimers.advance(Duration.ofMillis(1));
        }
        return new Outcome(busiestSum / meanSum, (double) overBound / sent);
    }

    private static double mean(Map<String, Integer> open, Load load) {
        return (double) open.values().stream().mapToInt(Integer::intValue).sum() / load.servers();
    }

    /** Requests a second from each data centre; they swing by a part of their mean. */
    private record Load(
            int routers,
            int dataCentres,
            int servers,
            double perSecondAndDataCentre,
            double swing,
            int wavesInDataCentres,
            long seed) {
        private static final double PERIOD_MILLIS = 4000;

        double perSecond(int dataCentre, int millis) {
            if (dataCentre >= wavesInDataCentres) {
                return perSecondAndDataCentre;
            }
            double phase = millis / PERIOD_MILLIS + (double) dataCentre / dataCentres;
            return perSecondAndDataCentre * (1 + swing * Math.sin(2 * Math.PI * phase));
        }
    }

    /**
     * All routers hear the same and late: if each took the least loaded server, the requests
     * between two messages would meet at one server.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void manyRoutersLoadFewServersMoreEvenlyThanByTheirOwnCounts(long seed) {
        assertMoreEven(new Load(82, 2, 3, 40, 0, 0, seed));
    }

    /** The demand of each data centre swings, one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void wavesThatAreShiftedBetweenDataCentresAreCarriedByAllServers(long seed) {
        assertMoreEven(new Load(24, 4, 4, 20, 0.55, 4, seed));
    }

    /** The routers of one data centre get nearly all requests of a wave. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aWaveInOneDataCentreIsCarriedByAllServers(long seed) {
        assertMoreEven(new Load(24, 1, 4, 80, 0.55, 1, seed));
    }

    private static void assertMoreEven(Load load) {
        Outcome before = new UnevenPlainServersTest().run(load, false);
        Outcome after = new UnevenPlainServersTest().run(load, true);
        assertThat(after.busiest()).isLessThan(before.busiest());
        assertThat(after.shareOverBound()).isAtMost(0.03);
    }
}
