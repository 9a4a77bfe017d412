package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.RouterFleet;
import io.rhubarbward.testing.SimulatedServers.LostLinks;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs whole routers against servers of which several crash at the same time. */
final class CrashingPartBatchTest {
    private static final int SERVERS = 12;
    private static final long STEP_MILLIS = 10;

    /** Two requests that come every 0.2 s, besides those that come in batches. */
    private static final int SOUND_PERIOD_MILLIS = 200;

    private static final int SYSTEM_PROMPTS = 3;
    private static final int BATCH_PERIOD_MILLIS = 6000;
    private static final int BATCHES = 4;
    private static final int DAY_MILLIS = BATCHES * BATCH_PERIOD_MILLIS;

    /** Time from which every router that is in touch with the others must know. */
    private static final long CONTACT_MILLIS = 3000;

    private static final int CRASHES_UNTIL_BOUND = 5;
    private static final int MAX_MORE_ARRIVALS = 3;

    private static boolean contains(String parts, String part) {
        return Set.of(parts.split(",")).contains(part);
    }

    /** Plays sound requests; runs the action at each step. */
    private static void play(RouterFleet fleet, IntConsumer onStep) {
        for (int step = 0; step < DAY_MILLIS; step += STEP_MILLIS) {
            if (step % SOUND_PERIOD_MILLIS == 0) {
                IntStream.range(0, 2)
                        .forEach(
                                index ->
                                        fleet.send(
                                                "sys-"
                                                        + fleet.mRandom.nextInt(SYSTEM_PROMPTS)
                                                        + ",doc-"
                                                        + fleet.mRandom.nextInt()));
            }
            onStep.accept(step);
            fleet.advance(STEP_MILLIS);
        }
    }

    private static void sendBatch(RouterFleet fleet, int requests, String part) {
        IntStream.range(0, requests)
                .forEach(index -> fleet.send(part + ",row-" + fleet.mRandom.nextInt()));
    }

    private static long blaming(RouterFleet fleet) {
        return fleet.mRouters.stream()
                .filter(router -> router.mEvents.logged().contains(LogEvent.REQUEST_TRAIT_BLOCKED))
                .count();
    }

    // Guards against counting the crashes of several servers within 100 ms as one crash.
    @ParameterizedTest
    @CsvSource({
        "1, 2, 10",
        "2, 2, 10",
        "3, 2, 20",
        "4, 4, 10",
        "5, 4, 6",
        "6, 2, 6",
        "7, 3, 10",
        "8, 8, 20"
    })
    void aCrashingPartThatComesInBatchesIsRefused(long seed, int routers, int requests) {
        assertRefused(seed, routers, requests);
    }

    // Guards against taking the crashes of all servers for a loss of the router's own links.
    @Tag("known-red")
    @Test
    void aCrashingPartWhoseBatchesTakeAllServersIsRefused() {
        assertRefused(8, 2, 40);
    }

    private static void assertRefused(long seed, int routers, int requests) {
        RouterFleet fleet = new RouterFleet(seed, routers, SERVERS);
        fleet.mServers.crashDuring(
                request -> contains(request.headers().first("part").orElse(""), "bad"));
        play(
                fleet,
                step -> {
                    if (step % BATCH_PERIOD_MILLIS == 0) {
                        sendBatch(fleet, requests, "bad");
                    }
                });
        List<Long> crashes =
                fleet.mServers.crashes().stream().map(crash -> crash.atMillis()).toList();
        assertThat(crashes.size()).isAtLeast(CRASHES_UNTIL_BOUND);
        long boundFromMillis = crashes.get(CRASHES_UNTIL_BOUND - 1) + CONTACT_MILLIS;
        long more =
                fleet.mServers.arrivals().stream()
                        .filter(arrival -> arrival.atMillis() > boundFromMillis)
                        .filter(arrival -> contains(arrival.headers().first("part").get(), "bad"))
                        .count();
        assertWithMessage("crashes at %s", crashes).that(more).isAtMost(MAX_MORE_ARRIVALS);
        assertThat(blaming(fleet)).isEqualTo(routers);
        long soundRefused =
                fleet.mSent.stream()
                        .filter(sent -> !contains(sent.parts(), "bad"))
                        .filter(sent -> sent.atMillis() > boundFromMillis + CONTACT_MILLIS)
                        .filter(sent -> sent.response().status() != 200)
                        .count();
        assertThat(soundRefused).isEqualTo(0);
    }

    // Servers that are lost together for another reason must not take a part with them.
    @ParameterizedTest
    @CsvSource({"1, 4, 400", "2, 8, 400", "3, 12, 400", "4, 4, 5000", "5, 8, 5000", "6, 12, 5000"})
    void serversThatAreLostTogetherBlameNoPartOfTheBatchInFlight(
            long seed, int lost, int answerMillis) {
        RouterFleet fleet = new RouterFleet(seed, 4, SERVERS);
        fleet.mServers.answerTime(server -> Duration.ofMillis(answerMillis));
        play(
                fleet,
                step -> {
                    if (step % 1000 == 500) {
                        sendBatch(fleet, 40, "common");
                    }
                    if (step == DAY_MILLIS / 2 + 530) {
                        IntStream.range(0, lost)
                                .forEach(server -> fleet.mServers.crash("e-" + server));
                    }
                });
        assertThat(fleet.mServers.crashes().size()).isAtLeast(lost);
        assertThat(blaming(fleet)).isEqualTo(0);
    }

    // A router whose links to some servers are reset must not blame what it alone sends.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void resetLinksOfOneRouterBlameNoPartThatItSends(long seed) {
        RouterFleet fleet = new RouterFleet(seed, 4, SERVERS);
        play(
                fleet,
                step -> {
                    if (step % 1000 == 500) {
                        IntStream.range(0, 20)
                                .forEach(
                                        index ->
                                                fleet.send(
                                                        fleet.mRouters.get(1),
                                                        "own,row-" + fleet.mRandom.nextInt()));
                    }
                    if (step == DAY_MILLIS / 2 + 530) {
                        fleet.mServers.cutOff(
                                router -> router.equals("r-1"),
                                server -> server.compareTo("e-6") < 0,
                                LostLinks.RESET);
                    }
                    if (step == DAY_MILLIS / 2 + 4000) {
                        fleet.mServers.restoreLinks();
                    }
                });
        assertThat(blaming(fleet)).isEqualTo(0);
    }
}
