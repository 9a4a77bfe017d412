package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.RouterFleet;
import io.rhubarbward.testing.RouterFleet.Router;
import io.rhubarbward.testing.RouterFleet.Sent;
import io.rhubarbward.testing.SimulatedServers.Arrival;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs whole routers against servers that crash during requests with a part of their prompt. */
final class CrashingPartTest {
    private static final int ROUTERS = 9;
    private static final int SERVERS = 9;
    private static final long STEP_MILLIS = 10;
    private static final long DAY_MILLIS = 26_000;

    /** Time from which every router that is in touch with the others must know. */
    private static final long CONTACT_MILLIS = 3000;

    private static final int CRASHES_UNTIL_BOUND = 5;
    private static final int MAX_MORE_ARRIVALS = 3;
    private static final int SYSTEM_PROMPTS = 3;
    private static final int DOCUMENTS = 99;

    private static RouterFleet fleet(long seed, Set<String> deadlyParts) {
        RouterFleet fleet = new RouterFleet(seed, ROUTERS, SERVERS);
        fleet.mServers.crashDuring(
                request ->
                        deadlyParts.stream()
                                .anyMatch(part -> contains(request.headers().first("part"), part)));
        return fleet;
    }

    private static boolean contains(Optional<String> parts, String part) {
        return parts.filter(list -> List.of(list.split(",")).contains(part)).isPresent();
    }

    /** Plays sound requests, and one in twenty with a deadly part; runs the action at each step. */
    private static void play(
            RouterFleet fleet, long millis, List<String> deadlyParts, IntConsumer onStep) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            if (fleet.mRandom.nextDouble() < 0.25) {
                String system = "sys-" + fleet.mRandom.nextInt(SYSTEM_PROMPTS);
                boolean deadly = !deadlyParts.isEmpty() && fleet.mRandom.nextDouble() < 0.05;
                String document =
                        deadly
                                ? deadlyParts.get(fleet.mRandom.nextInt(deadlyParts.size()))
                                : "doc-" + fleet.mRandom.nextInt(DOCUMENTS);
                fleet.send(system + "," + document);
            }
            onStep.accept((int) step);
            fleet.advance(STEP_MILLIS);
        }
    }

    private static void assertBounded(RouterFleet fleet, String part) {
        List<Long> crashes =
                fleet.mServers.crashes().stream().map(crash -> crash.atMillis()).toList();
        long boundFromMillis =
                crashes.size() < CRASHES_UNTIL_BOUND
                        ? Long.MAX_VALUE
                        : crashes.get(CRASHES_UNTIL_BOUND - 1) + CONTACT_MILLIS;
        List<Arrival> more =
                fleet.mServers.arrivals().stream()
                        .filter(arrival -> contains(arrival.headers().first("part"), part))
                        .filter(arrival -> arrival.atMillis() > boundFromMillis)
                        .toList();
        assertWithMessage("%s after the crashes at %s", part, crashes)
                .that(more.size())
                .isAtMost(MAX_MORE_ARRIVALS);
    }

    private static double servedShare(RouterFleet fleet, long fromMillis) {
        List<Sent> sound =
                fleet.mSent.stream()
                        .filter(sent -> !sent.parts().contains("bad"))
                        .filter(sent -> sent.atMillis() >= fromMillis)
                        .toList();
        return sound.stream().filter(sent -> sent.response().status() == 200).count()
                / (double) sound.size();
    }

    /** Returns how many routers blame some trait. */
    private static long blaming(RouterFleet fleet) {
        return fleet.mRouters.stream()
                .filter(router -> router.mEvents.logged().contains(LogEvent.REQUEST_TRAIT_BLOCKED))
                .count();
    }

    // Guards against incident 27: one prompt part crashed one server after the other.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void aPartThatCrashesServersIsRefusedByAllRoutersAfterAFewCrashes(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad"));
        play(fleet, DAY_MILLIS, List.of("bad"), step -> {});
        assertBounded(fleet, "bad");
        assertThat(fleet.mServers.crashes().size()).isAtMost(CRASHES_UNTIL_BOUND);
        long soundFromMillis =
                fleet.mServers.crashes().get(fleet.mServers.crashes().size() - 1).atMillis()
                        + 2 * CONTACT_MILLIS;
        assertThat(servedShare(fleet, soundFromMillis)).isAtLeast(0.95);
        assertThat(blaming(fleet)).isEqualTo(ROUTERS);
    }

    // A system prompt that crashes servers takes all requests with it, but no others.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCrashingFirstPartIsBlamedAndNotTheDocumentsAfterIt(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad"));
        for (long step = 0; step < DAY_MILLIS; step += STEP_MILLIS) {
            if (fleet.mRandom.nextDouble() < 0.25) {
                String system =
                        fleet.mRandom.nextDouble() < 0.05
                                ? "bad"
                                : "sys-" + fleet.mRandom.nextInt(SYSTEM_PROMPTS);
                fleet.send(system + ",doc-" + fleet.mRandom.nextInt(DOCUMENTS));
            }
            fleet.advance(STEP_MILLIS);
        }
        assertBounded(fleet, "bad");
        assertThat(servedShare(fleet, DAY_MILLIS / 2)).isAtLeast(0.95);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void twoPartsThatCrashServersAtTheSameTimeAreBothRefused(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad-1", "bad-2"));
        play(fleet, DAY_MILLIS, List.of("bad-1", "bad-2"), step -> {});
        assertThat(fleet.mServers.crashes().size()).isAtMost(2 * CRASHES_UNTIL_BOUND);
        assertThat(servedShare(fleet, DAY_MILLIS / 2 + 4000)).isAtLeast(0.95);
    }

    // A part that always comes with the same document must not take that document with it.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aDocumentThatAlwaysComesWithTheCrashingPartIsServedWithoutIt(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad"));
        List<Sent> documentAlone = new ArrayList<>();
        play(
                fleet,
                DAY_MILLIS,
                List.of("bad,doc-7"),
                step -> {
                    if (step % 2000 == 1000 && step > DAY_MILLIS / 2) {
                        documentAlone.add(fleet.send("sys-0,doc-7"));
                    }
                });
        assertBounded(fleet, "bad");
        assertThat(documentAlone.stream().map(sent -> sent.response().status()).toList())
                .doesNotContain(503);
    }

    // Crashes that have nothing to do with requests must not block any.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void aChainOfUnrelatedCrashesBlamesNoPart(long seed) {
        RouterFleet fleet = fleet(seed, Set.of());
        play(
                fleet,
                2 * DAY_MILLIS,
                List.of(),
                step -> {
                    if (step % 800 == 0) {
                        fleet.mServers.crash("e-" + fleet.mRandom.nextInt(SERVERS));
                    }
                });
        assertThat(fleet.mServers.crashes().size()).isGreaterThan(40);
        assertThat(blaming(fleet)).isEqualTo(0);
    }

    @Test
    void theLossOfMostServersAtOnceBlamesNoPart() {
        RouterFleet fleet = fleet(1, Set.of());
        play(
                fleet,
                DAY_MILLIS,
                List.of(),
                step -> {
                    if (step % 6000 == 3000) {
                        for (int server = 0; server < 6; server++) {
                            fleet.mServers.crash("e-" + server);
                        }
                    }
                });
        assertThat(blaming(fleet)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aCrashingPartIsFoundAmongUnrelatedCrashes(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad"));
        play(
                fleet,
                DAY_MILLIS,
                List.of("bad"),
                step -> {
                    if (step % 3000 == 0) {
                        fleet.mServers.crash("e-" + fleet.mRandom.nextInt(SERVERS));
                    }
                });
        assertBounded(fleet, "bad");
        long arrived =
                fleet.mServers.arrivals().stream()
                        .filter(arrival -> contains(arrival.headers().first("part"), "bad"))
                        .count();
        assertThat(arrived).isAtMost(CRASHES_UNTIL_BOUND + MAX_MORE_ARRIVALS);
    }

    // What is known must outlive the routers that pass it on.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void crashesAreCountedAlthoughAllRelaysDieBetweenTwoOfThem(long seed) {
        RouterFleet fleet = fleet(seed, Set.of("bad"));
        List<Router> killed = new ArrayList<>();
        play(
                fleet,
                DAY_MILLIS,
                List.of("bad"),
                step -> {
                    if (killed.isEmpty() && fleet.mServers.crashes().size() == 2) {
                        fleet.mRouters.stream().filter(Router::relays).forEach(killed::add);
                        killed.forEach(Router::kill);
                    }
                });
        assertThat(killed).isNotEmpty();
        assertBounded(fleet, "bad");
    }

    @Test
    void routersThatRestartOrWereFrozenLearnWhatIsBlocked() {
        RouterFleet fleet = fleet(3, Set.of("bad"));
        Router frozen = fleet.mRouters.get(4);
        frozen.freeze();
        play(fleet, 15_000, List.of("bad"), step -> {});
        frozen.thaw();
        Router restarted = fleet.mRouters.get(7);
        restarted.restart();
        fleet.advance(CONTACT_MILLIS);
        List.of(frozen, restarted)
                .forEach(
                        router ->
                                assertThat(fleet.send(router, "sys-1,bad").response().status())
                                        .isEqualTo(503));
    }

    // The same request, sent again by its caller, shares no part with others.
    @Test
    void aRequestThatCrashesServersIsRefusedWhenItComesAgain() {
        RouterFleet fleet = fleet(5, Set.of());
        fleet.mServers.crashDuring(
                request ->
                        StandardCharsets.UTF_8
                                .decode(request.body().duplicate())
                                .toString()
                                .equals("deadly body"));
        for (int step = 0; step < 1000; step++) {
            if (step % 100 == 0) {
                fleet.send("sys-" + step % SYSTEM_PROMPTS + ",doc-" + step, "deadly body");
            }
            if (fleet.mRandom.nextDouble() < 0.25) {
                fleet.send("sys-0,doc-" + fleet.mRandom.nextInt(DOCUMENTS));
            }
            fleet.advance(STEP_MILLIS);
        }
        assertThat(fleet.mServers.crashes().size()).isAtMost(CRASHES_UNTIL_BOUND - 1);
    }

    @Test
    void aRefusalSaysTruthfullyThatTheRequestHasNotRunAndNotToReturnSoon() {
        RouterFleet fleet = fleet(3, Set.of("bad"));
        play(fleet, 15_000, List.of("bad"), step -> {});
        int arrived = fleet.mServers.arrivals().size();
        Sent refused = fleet.send("sys-1,bad");
        assertThat(refused.response().status()).isEqualTo(503);
        assertThat(refused.response().headers().first("retry-after-ms").map(Long::valueOf).get())
                .isGreaterThan(60_000);
        fleet.advance(100);
        assertThat(fleet.mServers.arrivals()).hasSize(arrived);
    }
}
