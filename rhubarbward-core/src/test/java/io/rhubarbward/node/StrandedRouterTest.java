package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.RouterFleet;
import io.rhubarbward.testing.RouterFleet.Router;
import io.rhubarbward.testing.RouterFleet.Sent;
import io.rhubarbward.testing.SimulatedServers.LostLinks;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs whole routers of which some lose their links to all backend servers. */
final class StrandedRouterTest {
    private static final int SERVERS = 9;
    private static final long STEP_MILLIS = 10;
    private static final long CONTACT_MILLIS = 3000;
    private static final long CUT_MILLIS = 12_000;

    /** Share of the others' success that callers of cut-off routers must get at least. */
    private static final double REQUIRED_SHARE = 2 / 3.0;

    private static RouterFleet fleet(long seed, int routers) {
        RouterFleet fleet = new RouterFleet(seed, routers, SERVERS);
        play(fleet, 4000);
        return fleet;
    }

    private static void play(RouterFleet fleet, long millis) {
        play(fleet, millis, 60);
    }

    private static void play(RouterFleet fleet, long millis, double perSecond) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            if (fleet.mRandom.nextDouble() < perSecond * STEP_MILLIS / 1000) {
                fleet.send("sys-" + fleet.mRandom.nextInt(3) + ",doc-" + fleet.mRandom.nextInt(40));
            }
            fleet.advance(STEP_MILLIS);
        }
    }

    private static double servedShare(
            RouterFleet fleet, Predicate<String> routers, long fromMillis, long toMillis) {
        List<Sent> sent =
                fleet.mSent.stream()
                        .filter(one -> routers.test(one.router()))
                        .filter(one -> one.atMillis() >= fromMillis && one.atMillis() < toMillis)
                        .toList();
        long served =
                sent.stream()
                        .filter(one -> one.response().status() == 200)
                        .filter(one -> one.response().finished())
                        .count();
        return sent.isEmpty() ? 1 : served / (double) sent.size();
    }

    private static Set<String> names(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> "r-" + index)
                .collect(java.util.stream.Collectors.toSet());
    }

    private static Router router(RouterFleet fleet, String name) {
        return fleet.mRouters.stream()
                .filter(one -> one.mName.equals(name))
                .findFirst()
                .orElseThrow();
    }

    // Guards against incident 33: callers of routers that reach no server were refused.
    @ParameterizedTest
    @CsvSource({
        "1, 8, 5, HANG",
        "2, 8, 5, RESET",
        "3, 8, 5, REFUSE",
        "4, 9, 6, HANG",
        "5, 9, 8, HANG",
        "6, 9, 8, RESET",
        "7, 9, 1, HANG",
        "8, 30, 20, HANG",
        "9, 30, 20, RESET"
    })
    void callersOfCutOffRoutersAreServedLikeOthers(
            long seed, int routers, int cutOff, LostLinks lostLinks) {
        RouterFleet fleet = fleet(seed, routers);
        Set<String> stranded = names(cutOff);
        long cutMillis = fleet.mTimers.nowMillis();
        fleet.mServers.cutOff(stranded::contains, lostLinks);
        play(fleet, CUT_MILLIS);
        long endMillis = fleet.mTimers.nowMillis();
        fleet.mServers.restoreLinks();
        play(fleet, 6000);
        fleet.advance(3000);
        long fromMillis = cutMillis + CONTACT_MILLIS;
        double others = servedShare(fleet, name -> !stranded.contains(name), fromMillis, endMillis);
        assertWithMessage("served at cut-off routers; others %s", others)
                .that(servedShare(fleet, stranded::contains, fromMillis, endMillis))
                .isAtLeast(REQUIRED_SHARE * others);
        assertThat(others).isAtLeast(0.98);
        assertThat(servedShare(fleet, name -> true, endMillis + 500, endMillis + 6000))
                .isAtLeast(0.99);
    }

    // A whole data centre: no router nearby helps.
    @ParameterizedTest
    @EnumSource(LostLinks.class)
    void aCutOffDataCentreIsServedThroughOthers(LostLinks lostLinks) {
        RouterFleet fleet = fleet(11, 9);
        Set<String> stranded = Set.of("r-0", "r-3", "r-6");
        fleet.mServers.cutOff(stranded::contains, lostLinks);
        long cutMillis = fleet.mTimers.nowMillis();
        play(fleet, CUT_MILLIS);
        fleet.advance(2000);
        assertThat(
                        servedShare(
                                fleet,
                                stranded::contains,
                                cutMillis + CONTACT_MILLIS,
                                cutMillis + CUT_MILLIS))
                .isAtLeast(0.95);
    }

    @Test
    void aQuietRouterLearnsFromASingleCallerThatItIsCutOff() {
        RouterFleet fleet = fleet(12, 9);
        fleet.advance(10_000);
        Router router = router(fleet, "r-4");
        fleet.mServers.cutOff("r-4"::equals, LostLinks.HANG);
        fleet.mServers.dropIdleConnections();
        Sent first = fleet.send(router, "sys-1,doc-1");
        fleet.advance(2000);
        Sent second = fleet.send(router, "sys-1,doc-2");
        fleet.advance(1000);
        assertThat(first.response().status()).isEqualTo(200);
        assertThat(second.response().status()).isEqualTo(200);
    }

    // Helpers that stop, die or freeze must not take the callers with them.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24})
    void routersThatHelpMayStopDieAndFreeze(long seed) {
        RouterFleet fleet = fleet(seed, 9);
        Set<String> stranded = names(5);
        fleet.mServers.cutOff(stranded::contains, LostLinks.HANG);
        play(fleet, 4000);
        router(fleet, "r-5").kill();
        play(fleet, 2000);
        router(fleet, "r-6").beginStop();
        play(fleet, 1000);
        router(fleet, "r-7").freeze();
        long frozenMillis = fleet.mTimers.nowMillis();
        play(fleet, 4000);
        router(fleet, "r-7").thaw();
        fleet.advance(12_000);
        assertThat(servedShare(fleet, stranded::contains, frozenMillis + 1000, frozenMillis + 4000))
                .isAtLeast(0.95);
    }

    @Test
    void aRequestIsRefusedAtOnceAndTrulyIfNoRouterReachesAServer() {
        RouterFleet fleet = fleet(31, 9);
        fleet.mServers.cutOff(router -> true, LostLinks.HANG);
        play(fleet, 4000);
        int arrivals = fleet.mServers.arrivals().size();
        Sent sent = fleet.send("sys-1,doc-1");
        fleet.advance(20);
        assertThat(sent.response().status()).isEqualTo(503);
        assertThat(sent.response().headers().first("retry-after-ms")).isPresent();
        fleet.advance(2000);
        assertThat(fleet.mServers.arrivals()).hasSize(arrivals);
    }

    // No circle between two cut-off routers, and no second hop.
    @Test
    void noRequestTakesMoreThanOneHop() {
        RouterFleet fleet = fleet(32, 9);
        fleet.mServers.cutOff(names(8)::contains, LostLinks.RESET);
        play(fleet, 6000);
        long forwardedByHelpers =
                router(fleet, "r-8").mEvents.logged().stream()
                        .filter(LogEvent.REQUEST_FORWARDED::equals)
                        .count();
        assertThat(forwardedByHelpers).isEqualTo(0);
        fleet.mServers
                .arrivals()
                .forEach(
                        arrival ->
                                assertThat(arrival.headers().first("router-forwarded-by"))
                                        .isEmpty());
    }

    @Test
    void forwardedRequestsAreSpreadOverTheRoutersThatHelp() {
        RouterFleet fleet = fleet(33, 9);
        fleet.mServers.cutOff(names(5)::contains, LostLinks.HANG);
        play(fleet, 3000);
        long settledMillis = fleet.mTimers.nowMillis();
        play(fleet, 9000);
        Map<String, Integer> byRouter = new HashMap<>();
        fleet.mServers.arrivals().stream()
                .filter(arrival -> arrival.atMillis() >= settledMillis)
                .forEach(arrival -> byRouter.merge(arrival.router(), 1, Integer::sum));
        int most = byRouter.values().stream().mapToInt(count -> count).max().orElse(0);
        int all = byRouter.values().stream().mapToInt(count -> count).sum();
        assertThat(most).isAtMost(all / 2);
    }

    // Crashes of servers, also of most of them, are no sign that the router is cut off.
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void serversThatCrashAreNotTakenForLostLinks(long seed) {
        RouterFleet fleet = fleet(seed, 9);
        for (int round = 0; round < 4; round++) {
            IntStream.range(0, 7).forEach(server -> fleet.mServers.crash("e-" + server));
            play(fleet, 5000);
        }
        fleet.mRouters.forEach(
                router ->
                        assertThat(router.mEvents.logged())
                                .doesNotContain(LogEvent.SERVERS_UNREACHABLE));
    }

    // A cut to one data centre's servers is no cut of the router.
    @Test
    void aCutToAPartOfTheServersIsServedByTheOthers() {
        RouterFleet fleet = fleet(44, 9);
        fleet.mServers.cutOff(
                names(5)::contains, Set.of("e-0", "e-3", "e-6")::contains, LostLinks.RESET);
        long cutMillis = fleet.mTimers.nowMillis();
        play(fleet, 8000);
        fleet.advance(2000);
        assertThat(servedShare(fleet, name -> true, cutMillis + 1000, cutMillis + 8000))
                .isAtLeast(0.97);
        fleet.mRouters.forEach(
                router ->
                        assertThat(router.mEvents.logged())
                                .doesNotContain(LogEvent.SERVERS_UNREACHABLE));
    }

    // A router that is back in touch must not believe that all servers are cold or suspended, and
    // its lost connections must not make any prompt part suspect.
    @ParameterizedTest
    @EnumSource(LostLinks.class)
    void aCutLeavesNoMarkOnServersAndRequests(LostLinks lostLinks) {
        RouterFleet fleet = fleet(45, 9);
        for (int round = 0; round < 4; round++) {
            fleet.mServers.cutOff(names(6)::contains, lostLinks);
            play(fleet, 3000);
            fleet.mServers.restoreLinks();
            play(fleet, 2000);
        }
        long restoredMillis = fleet.mTimers.nowMillis();
        play(fleet, 3000);
        fleet.advance(2000);
        assertThat(servedShare(fleet, name -> true, restoredMillis, restoredMillis + 3000))
                .isEqualTo(1.0);
        fleet.mRouters.forEach(
                router ->
                        assertThat(router.mEvents.logged())
                                .doesNotContain(LogEvent.REQUEST_TRAIT_BLOCKED));
    }

    // Guards against prompt parts that are blamed since connections are found dead after a cut.
    @Test
    void connectionsThatEndAfterACutMakeNoRequestSuspect() {
        RouterFleet fleet = fleet(51, 9);
        fleet.mServers.cutOff(names(6)::contains, LostLinks.HANG);
        play(fleet, 1200);
        fleet.mServers.restoreLinks();
        play(fleet, 1000);
        fleet.mRouters.forEach(router -> assertThat(router.suspectsCrashes()).isFalse());
    }

    // A whole data centre of a large fleet: its routers must not ask all others of it first.
    @Test
    void routersOfOtherDataCentresAreAskedFromTheBeginning() {
        RouterFleet fleet = fleet(52, 90);
        Set<String> stranded =
                IntStream.range(0, 90)
                        .filter(index -> index % 3 == 0)
                        .mapToObj(index -> "r-" + index)
                        .collect(java.util.stream.Collectors.toSet());
        fleet.mServers.cutOff(stranded::contains, LostLinks.RESET);
        play(fleet, 1500, 300);
        long settledMillis = fleet.mTimers.nowMillis();
        play(fleet, 2000, 300);
        fleet.advance(2000);
        assertThat(servedShare(fleet, stranded::contains, settledMillis, settledMillis + 2000))
                .isAtLeast(0.9);
    }

    @Test
    void aRouterThatStartsDuringTheCutIsServedThroughOthers() {
        RouterFleet fleet = fleet(46, 9);
        fleet.mServers.cutOff("r-2"::equals, LostLinks.HANG);
        router(fleet, "r-2").restart();
        fleet.advance(2000);
        play(fleet, 3000);
        long settledMillis = fleet.mTimers.nowMillis();
        play(fleet, 6000);
        fleet.advance(2000);
        assertThat(servedShare(fleet, "r-2"::equals, settledMillis, settledMillis + 6000))
                .isAtLeast(0.95);
    }

    // A caller who leaves frees the server, also behind another router.
    @Test
    void aCallerWhoLeavesFreesTheServerBehindTheOtherRouter() {
        RouterFleet fleet = fleet(47, 9);
        fleet.mServers.cutOff("r-2"::equals, LostLinks.HANG);
        Router router = router(fleet, "r-2");
        IntStream.range(0, 5).forEach(i -> fleet.send(router, "sys-1,doc-" + i));
        fleet.advance(3000);
        fleet.mServers.answerTime(server -> Duration.ofSeconds(8));
        Sent sent = fleet.send(router, "sys-1,doc-9");
        fleet.advance(200);
        assertThat(sent.response().status()).isEqualTo(200);
        int open = openRequests(fleet);
        sent.connection().onGone();
        fleet.advance(500);
        assertThat(openRequests(fleet)).isEqualTo(open - 1);
    }

    private static int openRequests(RouterFleet fleet) {
        return IntStream.range(0, SERVERS).map(i -> fleet.mServers.open("e-" + i)).sum();
    }

    // Nothing is probed and no router is asked while all is well.
    @Test
    void nothingIsProbedWhileServersAnswer() {
        RouterFleet fleet = fleet(48, 9);
        int before = fleet.mServers.probes();
        play(fleet, 10_000);
        assertThat(fleet.mServers.probes()).isEqualTo(before);
    }

    // Servers that are slow to answer are not out of reach, and not probed again and again.
    @Test
    void slowAnswersMakeARouterSuspiciousLessAndLess() {
        RouterFleet fleet = fleet(50, 3);
        fleet.mServers.answerBegins(Duration.ofMillis(1500));
        int before = fleet.mServers.probes();
        for (int round = 0; round < 15; round++) {
            IntStream.range(0, 6).forEach(i -> fleet.send(router(fleet, "r-0"), "doc-" + i));
            fleet.advance(2000);
        }
        int suspicions = 4;
        assertThat(fleet.mServers.probes() - before).isAtMost(SERVERS * suspicions);
        assertThat(router(fleet, "r-0").mEvents.logged())
                .doesNotContain(LogEvent.SERVERS_UNREACHABLE);
    }

    // The deadline passes on less what was used, and each attempt runs at most once.
    @Test
    void theDeadlineAndTheAttemptGoWithARequestThroughAnotherRouter() {
        RouterFleet fleet = fleet(49, 9);
        fleet.mServers.cutOff(names(5)::contains, LostLinks.RESET);
        play(fleet, 6000);
        Map<String, Integer> arrivalsById = new HashMap<>();
        fleet.mServers
                .arrivals()
                .forEach(
                        arrival -> {
                            arrivalsById.merge(
                                    arrival.headers().first("id").orElse(""), 1, Integer::sum);
                            assertThat(Long.parseLong(arrival.headers().first("remaining").get()))
                                    .isAtMost(2000);
                        });
        arrivalsById.values().forEach(count -> assertThat(count).isEqualTo(1));
    }
}
