package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.RouterFleet;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs whole routers before servers that fall over when they must decline many requests. */
final class BrittleServerTest {
    private static final int SERVERS = 6;
    private static final int SLOTS = 8;
    private static final long STEP_MILLIS = 5;
    private static final long CONTACT_MILLIS = 3000;

    /** Time without a request, longer than any answer takes. */
    private static final long PAUSE_MILLIS = 8000;

    /** Requests that come at the same time, which all servers together have too little room for. */
    private static final int MORE_THAN_ROOM = 80;

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

    // Guards against forgetting that servers are brittle while nobody sends them requests.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void brittleServersDoNotFallOverInABurstAfterAPause(long seed) {
        RouterFleet fleet = fleet(seed, 2);
        fleet.mServers.makeBrittle(SLOTS, 5);
        play(fleet, CONTACT_MILLIS, 40);
        playBursts(fleet, 60);
        assertFallsAllowed(fleet);
    }

    // Guards against routers that all fill the same room before they hear of each other's requests.
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"1, 2, 5", "2, 2, 3", "3, 4, 5", "4, 8, 3"})
    void brittleServersDoNotFallOverIfRequestsComeInTheSameInstant(
            long seed, int routers, int mostDeclined) {
        RouterFleet fleet = fleet(seed, routers);
        fleet.mServers.makeBrittle(SLOTS, mostDeclined);
        play(fleet, CONTACT_MILLIS, 40);
        playBursts(fleet, MORE_THAN_ROOM);
        assertFallsAllowed(fleet);
    }

    private static void assertFallsAllowed(RouterFleet fleet) {
        assertWithMessage("falls")
                .that((double) fleet.mServers.crashes().size())
                .isAtMost(ALLOWED_FALLS);
    }

    @Test
    void serversThatNoLongerSayThatTheyAreBrittleAreUsedInFull() {
        RouterFleet fleet = fleet(5, 2);
        fleet.mServers.makeBrittle(SLOTS, 5);
        play(fleet, CONTACT_MILLIS, 40);
        fleet.mServers.makeBrittle(Integer.MAX_VALUE, Integer.MAX_VALUE);
        fleet.mServers.answerFields(server -> HeaderFields.NONE);
        play(fleet, CONTACT_MILLIS + 500, 10);
        int sentBefore = fleet.mSent.size();
        playBursts(fleet, MORE_THAN_ROOM);
        assertThat(
                        fleet.mSent.stream()
                                .skip(sentBefore)
                                .map(sent -> sent.response().status())
                                .distinct()
                                .toList())
                .containsExactly(200);
    }

    private static void playBursts(RouterFleet fleet, int requests) {
        for (int burst = 0; burst < 3; burst++) {
            fleet.advance(PAUSE_MILLIS);
            IntStream.range(0, requests).forEach(index -> fleet.send("doc-" + index));
        }
        fleet.advance(PAUSE_MILLIS);
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
