package io.rhubarbward.placement;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Placement at servers that share their machines with others and slow down at times. */
final class UnevenServersTest {
    private static final double SLOWDOWN = 2.5;
    private static final ServiceProfile ENGINES = Catalogs.ENGINE_SERVICE;
    private static final ServiceProfile PLAIN = Catalogs.PLAIN_SERVICE;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RecordingEvents mEvents = new RecordingEvents();
    private final Router mRouter = new Router("a");

    /** A router with its own table; all of them have the same time. */
    private final class Router {
        private final ServerTable mTable = new ServerTable(mTimers, mEvents);
        private final PlacementPolicy mPolicy;

        Router(String dataCentre) {
            mPolicy =
                    new PlacementPolicy(
                            dataCentre,
                            mTimers,
                            mTable,
                            new FleetLimitSplitter("front-1", () -> Set.of("front-1", "front-2")),
                            evacuated -> false,
                            VersionChoice.ANY);
        }

        Router withEngines(int count) {
            IntStream.range(0, count)
                    .forEach(index -> mTable.onAdded(engine("e-" + index, "dc-" + index % 3)));
            return this;
        }

        Router withPlainServers(int count) {
            IntStream.range(0, count)
                    .forEach(
                            index ->
                                    mTable.onAdded(
                                            ListedServers.server(
                                                    "o-" + index, "orders", "dc-" + index % 3)));
            return this;
        }

        TrackedServer server(String name) {
            return mTable.servers().stream()
                    .filter(server -> server.server().name().equals(name))
                    .findFirst()
                    .orElseThrow();
        }

        void state(String name, double slowdown) {
            mTable.recordLoad(server(name), new ServerLoad(0, 0, 64, slowdown));
        }

        /** Lets a server that no test request goes to state a slowdown. */
        Router inForce() {
            mTable.onAdded(ListedServers.server("other-1", "other", "a"));
            state("other-1", SLOWDOWN);
            return this;
        }

        void tellOthersInFlight(Map<String, Integer> inFlight) {
            mTable.updateInFlightFromOthers(
                    inFlight.entrySet().stream()
                            .collect(
                                    Collectors.toMap(
                                            entry -> TrackedServer.hash(entry.getKey()),
                                            Map.Entry::getValue)));
        }

        Placement.Chosen place(PlacementQuery query, ServiceProfile profile) {
            return (Placement.Chosen) mPolicy.place(query, profile);
        }

        String placeAtEngine(double unitHash) {
            return name(place(query("chat", Optional.empty(), unitHash, Set.of()), ENGINES));
        }

        String placeAtPlain(double unitHash) {
            return name(place(query("orders", Optional.empty(), unitHash, Set.of()), PLAIN));
        }

        Placement.Chosen placePart(String part) {
            return place(query("chat", Optional.of(part), 0.5, Set.of()), ENGINES);
        }
    }

    private static ListedServer engine(String name, String dataCentre) {
        return new ListedServer(
                ListedServers.server(name, "chat", dataCentre).server(),
                64,
                false,
                Duration.ZERO,
                0,
                1);
    }

    private static PlacementQuery query(
            String service, Optional<String> part, double unitHash, Set<String> tried) {
        return new PlacementQuery(service, part, part.isPresent() ? 10_000 : 0, unitHash, tried);
    }

    private static String name(Placement.Chosen chosen) {
        return chosen.server().server().name();
    }

    private static Map<String, Integer> everyEngine(int engines, int inFlight) {
        return IntStream.range(0, engines)
                .boxed()
                .collect(Collectors.toMap(index -> "e-" + index, index -> inFlight));
    }

    /**
     * The figure is the hash of the servers chosen by the code before slowdowns were read, with
     * plain servers and engines, parts, sends, results, load reports and news of other routers.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void beforeASlowdownIsStatedEveryRequestGoesWhereItWentBefore(long seed) {
        Map<Long, Integer> chosenBefore = Map.of(1L, 1080808722, 2L, -2114929562, 3L, -900641754);
        assertThat(choices(seed).hashCode()).isEqualTo(chosenBefore.get(seed));
    }

    private List<String> choices(long seed) {
        mRouter.withEngines(9).withPlainServers(4);
        SplittableRandom random = new SplittableRandom(seed);
        Deque<TrackedServer> open = new ArrayDeque<>();
        List<String> choices = new ArrayList<>();
        for (int request = 0; request < 3000; request++) {
            boolean engine = random.nextInt(3) > 0;
            Optional<String> part =
                    engine && random.nextBoolean()
                            ? Optional.of("p-" + random.nextInt(20))
                            : Optional.empty();
            PlacementQuery query =
                    query(engine ? "chat" : "orders", part, random.nextDouble(), Set.of());
            Placement placement = mRouter.mPolicy.place(query, engine ? ENGINES : PLAIN);
            if (placement instanceof Placement.Chosen chosen) {
                choices.add(name(chosen) + chosen.reason());
                mRouter.mTable.recordSend(chosen.server());
                open.add(chosen.server());
            } else {
                choices.add(placement.toString());
            }
            if (open.size() > 60) {
                TrackedServer ended = open.remove();
                SendResult result =
                        random.nextInt(20) == 0 ? SendResult.SERVER_ERROR : SendResult.ANSWERED;
                mRouter.mTable.recordResult(ended, result, Duration.ZERO);
                int running = random.nextInt(12);
                mRouter.mTable.recordLoad(ended, new ServerLoad(running, 0, 64));
                mRouter.mTable.recordResponseTime(ended, random.nextInt(500));
            }
            if (random.nextInt(40) == 0) {
                Map<String, Integer> others = new TreeMap<>();
                mRouter.mTable.servers().forEach(server -> others.put(server.server().name(), 0));
                others.replaceAll((name, none) -> random.nextInt(15));
                mRouter.tellOthersInFlight(others);
            }
            mTimers.advance(Duration.ofMillis(random.nextInt(90)));
        }
        return choices;
    }

    /** A long part that leaves its home is read again, which costs more than a slow interval. */
    @ParameterizedTest
    @ValueSource(ints = {20, 100, 450, 900})
    void aServerSlowedInIntervalsKeepsItsHomes(int figureMillis) {
        mRouter.withEngines(8);
        String home = name(mRouter.placePart("part"));
        Map<String, Integer> inFlight = new HashMap<>(everyEngine(8, 10));
        inFlight.put(home, 13);
        for (int at = 0; at < 40_000; at += 10) {
            if (at % figureMillis == 0) {
                mRouter.state(home, at % 4000 < 600 ? SLOWDOWN : 1);
            }
            if (at % 100 == 0) {
                mRouter.tellOthersInFlight(inFlight);
            }
            assertThat(mRouter.placePart("part").reason()).isEqualTo(Placement.Reason.AFFINITY);
            mTimers.advance(Duration.ofMillis(10));
        }
        assertThat(mEvents.logged()).doesNotContain(LogEvent.BACKEND_PACE_CHANGED);
    }

    /** All engines get the same number of parts; one takes 2.5 times as long for good. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aServerSlowedPermanentlyLosesShareToTheOthers(boolean parts) {
        int withFigures = sentToSlowEngine(parts, true);
        int without = new UnevenServersTest().sentToSlowEngine(parts, false);
        assertThat(withFigures).isLessThan(without);
    }

    private int sentToSlowEngine(boolean parts, boolean stated) {
        mRouter.withEngines(8);
        SplittableRandom random = new SplittableRandom(4);
        int sentToSlow = 0;
        for (int request = 0; request < 4000; request++) {
            Optional<String> part =
                    parts ? Optional.of("p-" + random.nextInt(400)) : Optional.empty();
            TrackedServer server =
                    mRouter.place(query("chat", part, random.nextDouble(), Set.of()), ENGINES)
                            .server();
            boolean slow = server.server().name().equals("e-3");
            sentToSlow += slow && request > 1000 ? 1 : 0;
            mRouter.mTable.recordSend(server);
            if (stated) {
                mRouter.state(server.server().name(), slow ? SLOWDOWN : 1);
            }
            mTimers.after(
                    Duration.ofMillis(slow ? 2500 : 1000),
                    () -> server.recordResult(SendResult.ANSWERED, mTimers.nowMillis()));
            if (request % 5 == 0) {
                mRouter.tellOthersInFlight(Map.of());
            }
            mTimers.advance(Duration.ofMillis(12));
        }
        return sentToSlow;
    }

    /** The fleet keeps every server under twice the mean load + 3 by count, however fast it is. */
    @Test
    void aFastServerGetsNothingOverTheBoundByCount() {
        mRouter.withEngines(6).inForce();
        String home = name(mRouter.placePart("part"));
        IntStream.range(0, 40)
                .forEach(
                        figure -> {
                            mRouter.state(home, 0.3);
                            mTimers.advance(Duration.ofMillis(100));
                        });
        Map<String, Integer> inFlight = new HashMap<>(everyEngine(6, 4));
        inFlight.put(home, 16);
        mRouter.tellOthersInFlight(inFlight);
        assertThat(mRouter.placePart("part").reason()).isEqualTo(Placement.Reason.SPILLED);
        for (int draw = 0; draw < 100; draw++) {
            assertThat(mRouter.placeAtEngine(draw / 100.0)).isNotEqualTo(home);
        }
    }

    /** Otherwise a service whose only usable server is slow would refuse its requests. */
    @Test
    void theCountAloneDecidesIfNoServerIsBelowTheBoundWithItsPace() {
        mRouter.withEngines(6).inForce();
        IntStream.range(1, 6)
                .forEach(
                        index ->
                                mRouter.mTable.onUpdated(
                                        ListedServers.server(
                                                "e-" + index,
                                                "chat",
                                                "a",
                                                Duration.ZERO,
                                                true,
                                                1)));
        IntStream.range(0, 100)
                .forEach(
                        figure -> {
                            mRouter.state("e-0", 8);
                            mTimers.advance(Duration.ofMillis(100));
                        });
        mRouter.tellOthersInFlight(Map.of("e-0", 3));
        assertThat(mRouter.placePart("part").reason()).isEqualTo(Placement.Reason.AFFINITY);
        assertThat(name(mRouter.placePart("part"))).isEqualTo("e-0");
        mRouter.tellOthersInFlight(Map.of("e-0", 20));
        assertThat(mRouter.placePart("part").reason()).isEqualTo(Placement.Reason.LEAST_LOADED);
        assertThat(mRouter.placeAtEngine(0.5)).isEqualTo("e-0");
    }

    /** All have heard the same, and none of the requests of this instant. */
    @Test
    void aHundredRoutersWithTheSameFiguresAtOneInstantDoNotChooseOneServer() {
        int before = busiest(100, router -> router.withEngines(18), 18, ENGINES);
        int after = busiest(100, router -> router.withEngines(18).inForce(), 18, ENGINES);
        assertThat(before).isGreaterThan(2 * 100 / 18 + 3);
        assertThat(after).isAtMost(2 * 100 / 18 + 3);
    }

    /** Each router has less than one place of each server, so its own requests say nothing. */
    @Test
    void eightyTwoRoutersWithOneRequestEachSpreadThemOverThreePlainServers() {
        int after = busiest(82, router -> router.withPlainServers(3).inForce(), 3, PLAIN);
        assertThat(after).isAtMost(82 / 3 + 82 / 6);
    }

    private int busiest(
            int routers, UnaryOperator<Router> setUp, int servers, ServiceProfile profile) {
        SplittableRandom random = new SplittableRandom(7);
        Map<String, Integer> counts = new HashMap<>();
        for (int index = 0; index < routers; index++) {
            Router router = setUp.apply(new Router("dc-" + index % 3));
            router.tellOthersInFlight(Map.of());
            PlacementQuery query =
                    query(profile.name(), Optional.empty(), random.nextDouble(), Set.of());
            counts.merge(name(router.place(query, profile)), 1, Integer::sum);
        }
        assertThat(counts.size()).isAtMost(servers);
        return counts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    }

    /** During a rollout the requests to one version have hashes of a small range. */
    @Test
    void requestsWithHashesOfASmallRangeReachEveryServer() {
        mRouter.withPlainServers(4).inForce();
        Set<String> chosen = new HashSet<>();
        IntStream.range(0, 200)
                .forEach(index -> chosen.add(mRouter.placeAtPlain(0.05 * index / 200)));
        assertThat(chosen).hasSize(4);
    }

    /** A draw among all servers of the service could find two that may not be used. */
    @Test
    void theTwoDrawnAreEligibleServers() {
        mRouter.withPlainServers(4).inForce();
        mRouter.mTable.onUpdated(
                ListedServers.server("o-0", "orders", "dc-0", Duration.ZERO, true, 1));
        TrackedServer failing = mRouter.server("o-1");
        for (int request = 0; request < 6; request++) {
            mRouter.mTable.recordSend(failing);
            mRouter.mTable.recordResult(failing, SendResult.SERVER_ERROR, Duration.ZERO);
        }
        mRouter.tellOthersInFlight(Map.of("o-0", 0, "o-1", 0, "o-2", 3, "o-3", 1));
        for (int draw = 0; draw < 100; draw++) {
            assertThat(mRouter.placeAtPlain(draw / 100.0)).isEqualTo("o-3");
            PlacementQuery afterOneTry =
                    query("orders", Optional.empty(), draw / 100.0, Set.of("o-3"));
            assertThat(name(mRouter.place(afterOneTry, PLAIN))).isEqualTo("o-2");
        }
    }

    /** A cold plain server counts one request more, but is used when the others are busier. */
    @Test
    void aColdPlainServerIsUsedLess() {
        mRouter.inForce();
        mRouter.mTable.onAdded(ListedServers.server("o-0", "orders", "a"));
        mRouter.mTable.onAdded(
                ListedServers.server("o-1", "orders", "a", Duration.ofSeconds(3), false, 1));
        mRouter.tellOthersInFlight(Map.of());
        assertThat(mRouter.placeAtPlain(0.3)).isEqualTo("o-0");
        mRouter.tellOthersInFlight(Map.of("o-0", 2));
        assertThat(mRouter.placeAtPlain(0.3)).isEqualTo("o-1");
    }

    /** What a server stated seconds ago says nothing of the present. */
    @Test
    void figuresThatAreOldNoLongerCount() {
        mRouter.withEngines(2);
        for (int figure = 0; figure < 60; figure++) {
            mRouter.state("e-0", SLOWDOWN);
            mTimers.advance(Duration.ofMillis(50));
        }
        TrackedServer server = mRouter.server("e-0");
        assertThat(server.shortSlowdown(mTimers.nowMillis())).isGreaterThan(2.0);
        assertThat(server.lastingSlowdown(mTimers.nowMillis())).isGreaterThan(1.5);
        mTimers.advance(Duration.ofMillis(1000));
        assertThat(server.shortSlowdown(mTimers.nowMillis())).isLessThan(2.0);
        mTimers.advance(Duration.ofMillis(1000));
        assertThat(server.shortSlowdown(mTimers.nowMillis())).isEqualTo(1.0);
        assertThat(server.lastingSlowdown(mTimers.nowMillis())).isEqualTo(1.0);
    }

    /** A single figure after a pause says that a slow interval began, not that it lasts. */
    @Test
    void oneFigureAfterAPauseDoesNotMakeAServerSlowForGood() {
        mRouter.withEngines(1);
        mRouter.state("e-0", SLOWDOWN);
        TrackedServer server = mRouter.server("e-0");
        assertThat(server.shortSlowdown(mTimers.nowMillis())).isGreaterThan(1.5);
        assertThat(server.lastingSlowdown(mTimers.nowMillis())).isLessThan(1.5);
    }

    @Test
    void aPlainServerThatRespondsSlowlyGetsLess() {
        mRouter.withPlainServers(4).inForce();
        respond(4, 300);
        mRouter.tellOthersInFlight(Map.of("o-0", 1, "o-1", 1, "o-2", 1, "o-3", 1));
        Map<String, Integer> beforePaceIsKnown = draws();
        assertThat(beforePaceIsKnown.get("o-0")).isGreaterThan(0);
        respond(1, 300);
        assertThat(draws()).doesNotContainKey("o-0");
        mTimers.advance(Duration.ofSeconds(2));
        mRouter.tellOthersInFlight(Map.of("o-0", 1, "o-1", 1, "o-2", 1, "o-3", 1));
        assertThat(draws().get("o-0")).isGreaterThan(0);
    }

    private void respond(int times, long slowMillis) {
        for (int response = 0; response < times; response++) {
            for (int index = 0; index < 4; index++) {
                mRouter.mTable.recordResponseTime(
                        mRouter.server("o-" + index), index == 0 ? slowMillis : 100);
            }
            mTimers.advance(Duration.ofMillis(10));
        }
    }

    private Map<String, Integer> draws() {
        Map<String, Integer> counts = new HashMap<>();
        IntStream.range(0, 200)
                .forEach(
                        index ->
                                counts.merge(mRouter.placeAtPlain(index / 200.0), 1, Integer::sum));
        return counts;
    }

    /** Without news of the others, this router's own requests decide, as before. */
    @Test
    void aRouterWithoutNewsOfTheOthersCountsItsOwnRequests() {
        mRouter.withPlainServers(2).inForce();
        mRouter.tellOthersInFlight(Map.of("o-1", 9));
        mRouter.mTable.recordSend(mRouter.server("o-0"));
        mRouter.mTable.recordSend(mRouter.server("o-0"));
        assertThat(mRouter.placeAtPlain(0.3)).isEqualTo("o-0");
        mTimers.advance(Duration.ofMillis(1500));
        assertThat(mRouter.placeAtPlain(0.3)).isEqualTo("o-1");
    }

    @Test
    void aChangeOfPaceIsLoggedOnceAndShown() {
        mRouter.withEngines(2).withPlainServers(2);
        PrometheusRegistry metrics = new PrometheusRegistry();
        PlacementMetrics.register(metrics, mRouter.mTable);
        assertThat(metrics.scrape().stream().mapToInt(m -> m.getDataPoints().size()).sum())
                .isEqualTo(0);
        for (int figure = 0; figure < 60; figure++) {
            mRouter.state("e-0", SLOWDOWN);
            mTimers.advance(Duration.ofMillis(50));
        }
        assertThat(mEvents.logged()).containsExactly(LogEvent.BACKEND_PACE_CHANGED);
        assertThat(mEvents.lastFields(LogEvent.BACKEND_PACE_CHANGED))
                .contains(EventField.of("source", "stated"));
        assertThat(mRouter.mTable.slowdowns().get("e-0")).isGreaterThan(1.5);
        assertThat(mRouter.mTable.slowdowns().get("e-1")).isEqualTo(1.0);
        assertThat(metrics.scrape().stream().mapToInt(m -> m.getDataPoints().size()).sum())
                .isEqualTo(4);
        for (int figure = 0; figure < 120; figure++) {
            mRouter.state("e-0", 1);
            mTimers.advance(Duration.ofMillis(50));
        }
        assertThat(mEvents.logged()).hasSize(2);
    }

    @Test
    void aPlainServersChangeOfPaceIsLogged() {
        mRouter.withPlainServers(4).inForce();
        respond(6, 900);
        assertThat(mEvents.lastFields(LogEvent.BACKEND_PACE_CHANGED))
                .containsAtLeast(
                        EventField.of("server", "o-0"), EventField.of("source", "answers"));
    }

    /** A pace that swings around the thresholds must not fill the log. */
    @Test
    void changesOfPaceAreLoggedAtMostOnceASecond() {
        PaceChangeDetector detector = new PaceChangeDetector();
        int changes = 0;
        for (int millis = 0; millis < 5000; millis += 10) {
            changes += detector.update(millis % 20 == 0 ? 2 : 1, millis) ? 1 : 0;
        }
        assertThat(changes).isAtMost(5);
    }
}
