package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.RouterFleet;
import io.rhubarbward.testing.RouterFleet.Sent;
import io.rhubarbward.testing.SimulatedServers.Arrival;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs whole routers before servers that say in their answers that they leave. */
final class LeavingServerTest {
    private static final int SERVERS = 6;
    private static final long STEP_MILLIS = 10;
    private static final long DRAIN_MILLIS = 2000;

    private final Set<String> mLeaving = new HashSet<>();

    private RouterFleet fleet(long seed, int routers) {
        RouterFleet fleet = new RouterFleet(seed, routers, SERVERS);
        fleet.mServers.answerFields(
                server ->
                        mLeaving.contains(server)
                                ? HeaderFields.of("leaving", "1")
                                : HeaderFields.NONE);
        play(fleet, 3000);
        return fleet;
    }

    private static void play(RouterFleet fleet, long millis) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            if (fleet.mRandom.nextDouble() < 0.6) {
                fleet.send("doc-" + fleet.mRandom.nextInt(40));
            }
            fleet.advance(STEP_MILLIS);
        }
    }

    /** Checks that a router sends nothing to a server once it knows that the server leaves. */
    private static void assertLeftAlone(RouterFleet fleet, String server, long saidMillis) {
        Map<String, Long> toldMillis = new HashMap<>();
        for (Arrival arrival : fleet.mServers.arrivals()) {
            if (!arrival.server().equals(server) || arrival.atMillis() < saidMillis) {
                continue;
            }
            long told = toldMillis.computeIfAbsent(arrival.router(), key -> arrival.atMillis());
            assertWithMessage("%s sent to %s again", arrival.router(), server)
                    .that(arrival.atMillis() - told)
                    .isAtMost(DRAIN_MILLIS);
        }
    }

    // Guards against incident 33: requests reached a server long after it had said that it leaves.
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "3, 9", "4, 30"})
    void aServerThatSaysItLeavesGetsNothingNewThoughTheStoreSaysReady(long seed, int routers) {
        RouterFleet fleet = fleet(seed, routers);
        long saidMillis = fleet.mTimers.nowMillis();
        mLeaving.add("e-1");
        play(fleet, 9000);
        assertLeftAlone(fleet, "e-1", saidMillis);
        assertThat(
                        fleet.mSent.stream()
                                .filter(sent -> sent.atMillis() < saidMillis + 8000)
                                .filter(sent -> status(sent) != 200)
                                .toList())
                .isEmpty();
    }

    private static int status(Sent sent) {
        return sent.response().status();
    }

    // Guards against a statement that is forgotten when the store's entry changes or comes back.
    @Test
    void theStatementOutlivesTheServersEntry() {
        RouterFleet fleet = fleet(5, 8);
        long saidMillis = fleet.mTimers.nowMillis();
        mLeaving.add("e-1");
        play(fleet, 3000);
        fleet.removeServer("e-1");
        play(fleet, 1000);
        fleet.addServer("e-1", "b", "v1");
        play(fleet, 9000);
        assertLeftAlone(fleet, "e-1", saidMillis);
    }

    @Test
    void aNewIncarnationStartsAfresh() {
        RouterFleet fleet = fleet(6, 8);
        mLeaving.add("e-1");
        play(fleet, 3000);
        mLeaving.clear();
        fleet.mServers.crash("e-1");
        play(fleet, 5000);
        long backMillis = fleet.mTimers.nowMillis();
        play(fleet, 5000);
        assertThat(
                        fleet.mServers.arrivals().stream()
                                .filter(arrival -> arrival.server().equals("e-1"))
                                .filter(arrival -> arrival.atMillis() >= backMillis)
                                .count())
                .isAtLeast(10);
    }

    // The last server of a service: refused at once and truly.
    @Test
    void requestsAreRefusedAtOnceWhenAllServersLeave() {
        RouterFleet fleet = fleet(7, 8);
        IntStream.range(0, SERVERS).forEach(server -> mLeaving.add("e-" + server));
        play(fleet, 4000);
        int arrivals = fleet.mServers.arrivals().size();
        List<Sent> sent = IntStream.range(0, 20).mapToObj(i -> fleet.send("doc-" + i)).toList();
        fleet.advance(100);
        assertThat(sent.stream().map(LeavingServerTest::status).distinct().toList())
                .containsExactly(503);
        assertThat(fleet.mServers.arrivals()).hasSize(arrivals);
    }

    // A server that leaves ends its connections by itself: no request crashed it.
    @Test
    void connectionsThatALeavingServerEndsMakeNoRequestSuspect() {
        RouterFleet fleet = fleet(8, 8);
        fleet.mServers.answerTime(server -> Duration.ofMillis(900));
        mLeaving.add("e-1");
        play(fleet, 1000);
        fleet.mServers.crash("e-1");
        play(fleet, 1000);
        fleet.mRouters.forEach(router -> assertThat(router.suspectsCrashes()).isFalse());
    }
}
