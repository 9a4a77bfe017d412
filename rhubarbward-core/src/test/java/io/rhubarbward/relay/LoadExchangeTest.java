package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.PlacementQuery;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakePeers;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs several routers on one virtual clock; messages take a millisecond or are dropped. */
final class LoadExchangeTest {
    private static final int SERVERS = 18;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final FakePeers mPeers = new FakePeers(mTimers);
    private final Map<String, RouterPresence> mListedRouters = new TreeMap<>();
    private final Map<String, Router> mRouters = new TreeMap<>();
    private final Set<String> mMuted = new HashSet<>();
    private int mMessages;

    LoadExchangeTest() {
        mPeers.cut((from, to) -> mMuted.contains(from));
        mPeers.onSend(message -> mMessages++);
    }

    private Router startRouter(String name) {
        return startRouter(name, "a");
    }

    private Router startRouter(String name, String dataCentre) {
        mListedRouters.put(name, new RouterPresence(dataCentre, name + ":7000", 1));
        Router router = new Router(name, dataCentre);
        mRouters.put(name, router);
        router.mExchange.start();
        return router;
    }

    private FleetRollouts rollouts(ServerTable table) {
        return new FleetRollouts(
                0.1,
                table,
                () -> false,
                (name, target, state, revision) -> CompletableFuture.completedStage(false),
                mTimers,
                new RecordingEvents());
    }

    private final class Router {
        private final String mName;
        private final ServerTable mTable = new ServerTable(mTimers, new RecordingEvents());
        private final PlacementPolicy mPolicy;
        private final LoadExchange mExchange;

        Router(String name, String dataCentre) {
            mName = name;
            IntStream.range(0, SERVERS)
                    .forEach(
                            index ->
                                    mTable.onAdded(
                                            ListedServers.server("e-" + index, "chat", "a")));
            mPolicy =
                    new PlacementPolicy(
                            dataCentre,
                            mTimers,
                            mTable,
                            new FleetLimitSplitter(name, mListedRouters::keySet),
                            evacuated -> false,
                            VersionChoice.ANY);
            mExchange =
                    new LoadExchange(
                            name,
                            dataCentre,
                            () -> mListedRouters,
                            () -> aggregator(dataCentre),
                            mPeers.endpoint(name),
                            new ExchangedState(
                                    new CrashSuspects(mTimers, new RecordingEvents()),
                                    rollouts(mTable),
                                    mTable,
                                    new AccountUsage(mTimers),
                                    service -> false),
                            mTimers);
        }

        private Optional<Peer> aggregator(String dataCentre) {
            return RelaySelection.inOrderOfPreference(mListedRouters, dataCentre).stream()
                    .filter(peer -> peer.vm().equals(mName) || !mMuted.contains(peer.vm()))
                    .findFirst()
                    .filter(peer -> !peer.vm().equals(mName));
        }

        TrackedServer place(String part) {
            Placement placement =
                    mPolicy.place(
                            new PlacementQuery("chat", Optional.of(part), 10_000, 0.5, Set.of()),
                            Catalogs.ENGINE_SERVICE);
            TrackedServer server = ((Placement.Chosen) placement).server();
            mTable.recordSend(server);
            return server;
        }

        void holdForASecond(int index) {
            TrackedServer server = mTable.servers().get(index);
            mTable.recordSend(server);
            mTimers.after(
                    Duration.ofSeconds(1),
                    () -> server.recordResult(SendResult.ANSWERED, mTimers.nowMillis()));
        }

        double inFlightElsewhere() {
            return mTable.servers().stream().mapToDouble(TrackedServer::inFlightFromOthers).sum();
        }
    }

    /** 45 requests a second, a third for one prompt part; the bound is twice the mean load + 3. */
    @Test
    void aHotPartFromAllRoutersSpillsOverBeforeItsServerExceedsTheBound() {
        List<Router> routers = startNineRouters();
        ActualLoads loads = new ActualLoads();
        for (int request = 0; request < 600; request++) {
            String part = request % 3 == 0 ? "hot" : "p-" + request;
            loads.place(routers.get(request % routers.size()), part);
            mTimers.advance(Duration.ofMillis(22));
        }
        assertThat(loads.shareOverBound()).isAtMost(0.03);
    }

    /** All routers get a request for the same prompt part at the same time, five times a second. */
    @Test
    @Tag("known-red")
    void aHotPartThatMeetsAllRoutersAtOnceSpillsBeforeItsServerIsOverTheBound() {
        List<Router> routers = startNineRouters();
        ActualLoads loads = new ActualLoads();
        for (int round = 0; round < 15; round++) {
            routers.forEach(router -> loads.place(router, "hot"));
            mTimers.advance(Duration.ofMillis(200));
        }
        assertThat(loads.shareOverBound()).isAtMost(0.03);
    }

    // An aggregator whose messages do not arrive is told so, and replaces its connection.
    @Test
    void aConnectionBetweenAggregatorsThatDiesWithoutAResetIsReplaced() {
        Router sender = startRouter("front-1", "a");
        Router receiver = startRouter("front-2", "b");
        mTimers.advance(Duration.ofSeconds(1));
        mPeers.killConnection("front-1", "front-2");
        mTimers.advance(Duration.ofSeconds(6));
        sender.place("part");
        mTimers.advance(Duration.ofMillis(600));
        assertThat(receiver.inFlightElsewhere()).isEqualTo(1.0);
    }

    private List<Router> startNineRouters() {
        List<Router> routers =
                IntStream.range(0, 9).mapToObj(index -> startRouter("front-" + index)).toList();
        mTimers.advance(Duration.ofSeconds(1));
        return routers;
    }

    /** Counts the requests that each server really holds; each request takes a second. */
    private final class ActualLoads {
        private final Map<String, Integer> mHeldByServer = new HashMap<>();
        private int mPlaced;
        private int mPlacedOverBound;

        void place(Router router, String part) {
            TrackedServer server = router.place(part);
            String name = server.server().name();
            int held = mHeldByServer.merge(name, 1, Integer::sum);
            int heldInAll = mHeldByServer.values().stream().mapToInt(Integer::intValue).sum();
            mPlaced++;
            mPlacedOverBound += held > 2.0 * heldInAll / SERVERS + 3 ? 1 : 0;
            mTimers.after(
                    Duration.ofSeconds(1),
                    () -> {
                        mHeldByServer.merge(name, -1, Integer::sum);
                        server.recordResult(SendResult.ANSWERED, mTimers.nowMillis());
                    });
        }

        double shareOverBound() {
            return (double) mPlacedOverBound / mPlaced;
        }
    }

    @Test
    void anotherRoutersRequestsInFlightCountUntilItsMessagesStop() {
        Router first = startRouter("front-0");
        Router second = startRouter("front-1");
        String server = second.place("p").server().name();
        IntStream.range(0, 5).forEach(index -> second.place("p"));
        mTimers.advance(Duration.ofMillis(400));
        assertThat(first.inFlightElsewhere()).isEqualTo(6.0);
        assertThat(server).isNotEmpty();
        mMuted.add("front-1");
        startRouter("front-2");
        mTimers.advance(Duration.ofSeconds(3));
        assertThat(first.inFlightElsewhere()).isEqualTo(0.0);
    }

    /** The same load as above, from routers of three data centres: two more messages on the way. */
    @Test
    void aHotPartFromThreeDataCentresSpillsOverBeforeItsServerExceedsTheBound() {
        List<Router> routers = startRouters(9, 3);
        mTimers.advance(Duration.ofSeconds(1));
        ActualLoads loads = new ActualLoads();
        for (int request = 0; request < 600; request++) {
            String part = request % 3 == 0 ? "hot" : "p-" + request;
            loads.place(routers.get(request % routers.size()), part);
            mTimers.advance(Duration.ofMillis(22));
        }
        assertThat(loads.shareOverBound()).isAtMost(0.03);
    }

    private List<Router> startRouters(int routers, int dataCentres) {
        return IntStream.range(0, routers)
                .mapToObj(index -> startRouter("front-" + index, "dc-" + index % dataCentres))
                .toList();
    }

    /** Once requests stop to come and go, every router knows the same total. */
    @Test
    void everyRouterLearnsTheTotalsOfAllDataCentres() {
        List<Router> routers = startRouters(24, 4);
        mTimers.advance(Duration.ofSeconds(1));
        IntStream.range(0, 24)
                .forEach(index -> IntStream.range(0, index).forEach(n -> placeAt(routers, index)));
        mTimers.advance(Duration.ofSeconds(1));
        for (int index = 0; index < 24; index++) {
            assertThat(routers.get(index).inFlightElsewhere()).isEqualTo(276.0 - index);
        }
    }

    private static void placeAt(List<Router> routers, int index) {
        routers.get(index).place("p-" + index);
    }

    @Test
    void aLostAggregatorIsReplacedAndTheTotalsAreKnownAgain() {
        List<Router> routers = startRouters(12, 3);
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> router.place("p-" + router.mName));
        mTimers.advance(Duration.ofSeconds(1));
        mMuted.add(RelaySelection.inOrderOfPreference(mListedRouters, "dc-1").get(0).vm());
        mTimers.advance(Duration.ofSeconds(4));
        routers.stream()
                .filter(router -> !mMuted.contains(router.mName))
                .forEach(router -> assertThat(router.inFlightElsewhere()).isEqualTo(10.0));
    }

    /** Six requests a second at each router, for a second each. */
    @Test
    void messagesOfARouterDoNotGrowWithTheFleet() {
        double at30 = messagesPerRouterAndSecond(30);
        double at100 = new LoadExchangeTest().messagesPerRouterAndSecond(100);
        double at300 = new LoadExchangeTest().messagesPerRouterAndSecond(300);
        assertThat(at30).isLessThan(40.0);
        assertThat(at100).isLessThan(40.0);
        assertThat(at300).isLessThan(at100 * 1.1);
    }

    private double messagesPerRouterAndSecond(int routers) {
        List<Router> started = startRouters(routers, 5);
        mTimers.advance(Duration.ofSeconds(2));
        mMessages = 0;
        SplittableRandom random = new SplittableRandom(routers);
        int seconds = 4;
        for (int step = 0; step < seconds * 1000; step++) {
            for (int chance = 0; chance < routers; chance++) {
                if (random.nextInt(1000) < 6) {
                    started.get(chance).holdForASecond(random.nextInt(SERVERS));
                }
            }
            mTimers.advance(Duration.ofMillis(1));
        }
        return (double) mMessages / routers / seconds;
    }

    /** Totals stay within a few requests of the truth while a tenth of the messages is lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void lostMessagesDelayTheTotalsOnly(long seed) {
        List<Router> routers = startRouters(30, 3);
        mTimers.advance(Duration.ofSeconds(1));
        mPeers.injectFaults(
                new SplittableRandom(seed),
                0.1,
                20,
                LoadReport.class,
                LoadTotals.class,
                DataCentreLoad.class);
        List<TrackedServer> open = new ArrayList<>();
        routers.forEach(router -> open.add(router.place("p-" + router.mName)));
        mTimers.advance(Duration.ofSeconds(2));
        mPeers.clearFaults();
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> assertThat(router.inFlightElsewhere()).isEqualTo(29.0));
        assertThat(open).hasSize(30);
    }
}
