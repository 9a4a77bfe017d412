package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.testing.RouterFleet;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs whole routers before servers that fall over when they must decline many requests. */
final class BrittleServerTest {
    private static final int SERVERS = 6;
    private static final int SLOTS = 8;
    private static final long STEP_MILLIS = 5;
    private static final long CONTACT_MILLIS = 3000;

    /** Falls that are allowed while servers say that they are brittle. */
    private static final double ALLOWED_FALLS = 2 + SERVERS / 10.0;

    private static RouterFleet fleet(long seed, int routers) {
        RouterFleet fleet = new RouterFleet(seed, routers, SERVERS, SLOTS);
        fleet.mServers.answerTime(server -> Duration.ofMillis(400));
        return fleet;
    }

    private static void play(RouterFleet fleet, long millis, double perSecond) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            if (fleet.mRandom.nextDouble() < perSecond * STEP_MILLIS / 1000) {
                fleet.send("doc-" + fleet.mRandom.nextInt(40));
            }
            fleet.advance(STEP_MILLIS);
        }
    }

    // Guards against incident 33: servers that say that they are brittle fall over in a burst.
    @ParameterizedTest
    @CsvSource({"1, 8, 5", "2, 8, 10", "3, 9, 3", "4, 30, 10", "5, 3, 5"})
    void brittleServersDoNotFallOverInABurst(long seed, int routers, int mostDeclined) {
        RouterFleet fleet = fleet(seed, routers);
        fleet.mServers.makeBrittle(SLOTS, mostDeclined);
        play(fleet, CONTACT_MILLIS, 40);
        long fromMillis = fleet.mTimers.nowMillis();
        play(fleet, 10_000, 180);
        long falls =
                fleet.mServers.crashes().stream()
                        .filter(crash -> crash.atMillis() >= fromMillis)
                        .count();
        assertWithMessage("falls").that((double) falls).isAtMost(ALLOWED_FALLS);
        // What there is room for is served all the same: about 109 requests a second.
        long served =
                fleet.mSent.stream()
                        .filter(sent -> sent.atMillis() >= fromMillis)
                        .filter(sent -> sent.response().status() == 200)
                        .count();
        assertThat(served).isAtLeast(700);
    }

    @Test
    void whatThereIsNoRoomForIsRefusedAtOnceWithATimeToComeBack() {
        RouterFleet fleet = fleet(6, 8);
        fleet.mServers.makeBrittle(SLOTS, 5);
        play(fleet, CONTACT_MILLIS, 40);
        play(fleet, 4000, 220);
        List<RouterFleet.Sent> refused =
                fleet.mSent.stream().filter(sent -> sent.response().status() == 503).toList();
        assertThat(refused).isNotEmpty();
        refused.forEach(
                sent -> assertThat(sent.response().headers().first("retry-after-ms")).isPresent());
    }
}
