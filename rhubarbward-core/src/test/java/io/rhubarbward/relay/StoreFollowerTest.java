package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.relay.RelayFleet.Router;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** {@link RelayFleet} checks after every step that no confirmation is understated in age. */
final class StoreFollowerTest {
    private final RelayFleet mFleet = new RelayFleet(7);

    private void startThreeDataCentres(int routers) {
        mFleet.mStore.put(RelayFleet.SERVERS, "e-1", "ready");
        mFleet.startRouters(routers, "a", "b", "c");
        mFleet.advance(Duration.ofSeconds(15));
    }

    private void assertAllUpToDate() {
        mFleet.running(router -> true)
                .forEach(
                        router -> {
                            assertWithMessage(router.mName)
                                    .that(router.mVersion)
                                    .isEqualTo(mFleet.newestVersion());
                            assertWithMessage(router.mName)
                                    .that(router.mKnownServers)
                                    .isEqualTo(mFleet.mStore.objects(RelayFleet.SERVERS));
                        });
    }

    /** 75 routers at rest: fewer than 0.3 calls a router and second. */
    @Test
    void quietRoutersHardlyCallTheStore() {
        startThreeDataCentres(25);
        int before = mFleet.mStore.calls();
        mFleet.advance(Duration.ofSeconds(20));
        double calls = (mFleet.mStore.calls() - before) / 75.0 / 20;
        assertThat(calls).isLessThan(0.1);
        assertThat(mFleet.trusted()).hasSize(75);
        assertThat(mFleet.relays()).hasSize(3);
    }

    /** A cold server's entry changes every second; that must not cost a call of every router. */
    @Test
    void changesOfServersCostCallsOfTheRelaysOnly() {
        startThreeDataCentres(25);
        int before = mFleet.mStore.calls();
        IntStream.range(0, 20)
                .forEach(
                        second -> {
                            mFleet.mStore.put(RelayFleet.SERVERS, "e-1", "cold " + second);
                            mFleet.advance(Duration.ofSeconds(1));
                        });
        double calls = (mFleet.mStore.calls() - before) / 75.0 / 20;
        assertThat(calls).isLessThan(0.3);
        assertAllUpToDate();
    }

    /** Calls of 75 routers that start together, in their first ten seconds. */
    @Test
    void aColdStartOfAllRoutersCostsABoundedNumberOfCalls() {
        mFleet.startRouters(25, "a", "b", "c");
        mFleet.advance(Duration.ofSeconds(10));
        assertThat(mFleet.mStore.calls() / 75.0).isLessThan(15.0);
        assertThat(mFleet.trusted()).hasSize(75);
    }

    /** Half of the shortest time in which a leaving server must get nothing new. */
    @Test
    void changesReachAllRoutersWithinASecond() {
        startThreeDataCentres(20);
        mFleet.writeVersion(2);
        mFleet.mStore.put(RelayFleet.SERVERS, "e-2", "ready");
        mFleet.mStore.delete(RelayFleet.SERVERS, "e-1");
        mFleet.advance(Duration.ofSeconds(1));
        assertAllUpToDate();
    }

    /** Guards against requests to leaving servers while a silent watch looks like a quiet one. */
    @ParameterizedTest
    @ValueSource(longs = {2, 3, 5, 8})
    void aChangeIsSeenWithinTwoSecondsThoughItsWatchWentSilent(long secondsSilent) {
        startThreeDataCentres(8);
        mFleet.mStore.silenceWaitingWatches(kind -> !kind.equals(RelayFleet.CONFIG));
        mFleet.advance(Duration.ofSeconds(secondsSilent));
        mFleet.mStore.put(RelayFleet.SERVERS, "e-1", "draining");
        mFleet.advance(Duration.ofMillis(1900));
        assertAllUpToDate();
    }

    @Test
    void aRelayThatDiesIsReplacedWithoutARefusedKey() {
        startThreeDataCentres(10);
        mFleet.relayOf("a").kill();
        for (int step = 0; step < 60; step++) {
            mFleet.advance(Duration.ofMillis(200));
            assertThat(mFleet.trusted()).hasSize(29);
        }
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(500));
        assertAllUpToDate();
        assertThat(mFleet.relays()).hasSize(3);
    }

    /** Between the order to stop and its end a router has 2.8 s. */
    @Test
    void aRelayThatStopsHandsItsFollowersOverBeforeItEnds() {
        startThreeDataCentres(10);
        Router relay = mFleet.relayOf("a");
        relay.mFollower.stopRelaying();
        mFleet.advance(Duration.ofMillis(2800));
        assertThat(mFleet.relays()).hasSize(4);
        relay.kill();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(200));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(29);
    }

    @Test
    void bothRelaysOfADataCentreLostAtOnceAreReplaced() {
        startThreeDataCentres(10);
        mFleet.relayOf("a").kill();
        mFleet.advance(Duration.ofSeconds(4));
        Router second = mFleet.relayOf("a");
        second.restart();
        second.kill();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(4));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(28);
    }

    /** Its state is old when it wakes, and its monotonic clock does not show it. */
    @Test
    void aFrozenRelayServesNothingOldWhenItWakes() {
        startThreeDataCentres(10);
        Router relay = mFleet.relayOf("a");
        relay.freeze();
        mFleet.advance(Duration.ofMillis(900));
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(5100));
        assertAllUpToDate();
        relay.thaw();
        mFleet.advance(Duration.ofSeconds(10));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(30);
    }

    /** An answer to a request from before the freeze must not confirm anything. */
    @Test
    void aFrozenFollowerTrustsNoAnswerFromBeforeItsFreeze() {
        startThreeDataCentres(10);
        Router relay = mFleet.relayOf("a");
        List<Router> followers =
                mFleet.running(router -> router.mDataCentre.equals("a") && router != relay);
        for (int phase = 0; phase < followers.size(); phase++) {
            mFleet.advance(Duration.ofMillis(40));
            followers.get(phase).freeze();
        }
        mFleet.advance(Duration.ofSeconds(3));
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(1));
        followers.forEach(Router::thaw);
        mFleet.advance(Duration.ofSeconds(2));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(30);
    }

    @Test
    void aRelayThatRestartsUnderItsAddressIsFollowedAgain() {
        startThreeDataCentres(10);
        Router relay = mFleet.relayOf("b");
        relay.restart();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(6));
        assertAllUpToDate();
        assertThat(mFleet.relays()).hasSize(3);
    }

    @Test
    void aRelayThatIsCutOneWayIsReplaced() {
        startThreeDataCentres(10);
        String relay = mFleet.relayOf("c").mName;
        mFleet.mPeers.cut((from, to) -> from.equals(relay));
        for (int step = 0; step < 40; step++) {
            mFleet.advance(Duration.ofMillis(200));
            assertThat(mFleet.trusted()).hasSize(30);
        }
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(500));
        assertAllUpToDate();
    }

    /** Keys are revoked while the store refuses a third of the routers, relays among them. */
    // A connection that dies without a reset looks open: nobody notices but by missing answers.
    @Test
    void aConnectionToARelayThatDiesWithoutAResetIsReplaced() {
        startThreeDataCentres(6);
        Router relay = mFleet.relayOf("a");
        List<String> followers = followersOf(relay);
        followers.forEach(follower -> mFleet.mPeers.killConnection(follower, relay.mName));
        mFleet.advance(Duration.ofSeconds(12));
        assertThat(mFleet.relayOf("a").mFollower.followers()).isEqualTo(followers.size());
        assertThat(mFleet.relays()).hasSize(3);
    }

    @Test
    void aConnectionToAFollowerThatDiesWithoutAResetIsReplaced() {
        startThreeDataCentres(6);
        Router relay = mFleet.relayOf("a");
        List<String> followers = followersOf(relay);
        followers.forEach(follower -> mFleet.mPeers.killConnection(relay.mName, follower));
        mFleet.advance(Duration.ofSeconds(12));
        assertThat(mFleet.relayOf("a").mFollower.followers()).isEqualTo(followers.size());
        assertThat(mFleet.relays()).hasSize(3);
    }

    private List<String> followersOf(Router relay) {
        return mFleet.mRouters.stream()
                .filter(router -> router.mDataCentre.equals(relay.mDataCentre) && router != relay)
                .map(router -> router.mName)
                .toList();
    }

    @Test
    void routersThatTheStoreRefusesGoOnThroughARelay() {
        startThreeDataCentres(12);
        String relayA = mFleet.relayOf("a").mName;
        mFleet.mStore.refuse(
                router -> router.equals(relayA) || Math.floorMod(router.hashCode(), 3) == 0);
        for (int step = 0; step < 45; step++) {
            if (step % 10 == 0) {
                mFleet.writeVersion(2 + step);
            }
            mFleet.advance(Duration.ofMillis(200));
            assertWithMessage("step %s", step).that(mFleet.trusted()).hasSize(36);
        }
        mFleet.mStore.refuse(router -> false);
        mFleet.advance(Duration.ofSeconds(2));
        assertAllUpToDate();
    }

    @Test
    void routersThatTheStoreIsSilentToGoOnThroughARelay() {
        startThreeDataCentres(12);
        String relayA = mFleet.relayOf("a").mName;
        mFleet.mStore.beSilentTo(router -> router.equals(relayA));
        for (int step = 0; step < 100; step++) {
            mFleet.advance(Duration.ofMillis(200));
            assertWithMessage("step %s", step).that(mFleet.trusted()).hasSize(36);
        }
    }

    @Test
    void allRoutersAreUpToDateSoonAfterAnOutageOfTheStore() {
        startThreeDataCentres(12);
        mFleet.mStore.refuse(router -> true);
        mFleet.advance(Duration.ofSeconds(12));
        assertThat(mFleet.trusted()).isEmpty();
        mFleet.mStore.refuse(router -> false);
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(2));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(36);
        mFleet.advance(Duration.ofSeconds(6));
        assertThat(mFleet.relays()).hasSize(3);
    }

    @Test
    void aDataCentreThatIsCutOffFromTheOthersKeepsItsRelay() {
        startThreeDataCentres(8);
        mFleet.mPeers.cut((from, to) -> from.charAt(0) != to.charAt(0));
        mFleet.advance(Duration.ofSeconds(5));
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(500));
        assertAllUpToDate();
        assertThat(mFleet.relays()).hasSize(3);
    }

    @Test
    void historyDroppedWhileRelaysChangeLosesNothing() {
        startThreeDataCentres(8);
        mFleet.relayOf("a").kill();
        mFleet.mStore.delete(RelayFleet.SERVERS, "e-1");
        mFleet.mStore.put(RelayFleet.SERVERS, "e-3", "ready");
        mFleet.mStore.dropHistory();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(4));
        mFleet.mStore.dropHistory();
        mFleet.mStore.put(RelayFleet.SERVERS, "e-4", "ready");
        mFleet.advance(Duration.ofSeconds(3));
        assertAllUpToDate();
    }

    @Test
    void routersAddedAndTakenAwayByTheDozenLeaveOneRelayADataCentre() {
        startThreeDataCentres(15);
        mFleet.running(router -> Math.floorMod(router.mName.hashCode(), 3) == 0)
                .forEach(Router::kill);
        mFleet.startRouters(12, "d");
        mFleet.advance(Duration.ofSeconds(20));
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofMillis(500));
        assertAllUpToDate();
        assertThat(mFleet.relays()).hasSize(4);
        assertThat(mFleet.trusted()).hasSize(mFleet.running(router -> true).size());
    }

    /** Random kills, freezes, cuts and refusals; a check runs every 20 ms. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noConfirmationIsUnderstatedUnderRandomFaults(long seed) {
        RelayFleet fleet = new RelayFleet(seed);
        SplittableRandom random = new SplittableRandom(seed);
        fleet.startRouters(7, "a", "b", "c");
        fleet.advance(Duration.ofSeconds(8));
        for (int fault = 0; fault < 40; fault++) {
            Router router = fleet.mRouters.get(random.nextInt(fleet.mRouters.size()));
            Router target = random.nextBoolean() ? fleet.relayOf(router.mDataCentre) : router;
            switch (random.nextInt(7)) {
                case 0 -> target.restart();
                case 1 -> toggleFreeze(target);
                case 2 -> fleet.mPeers.cut((from, to) -> from.equals(target.mName));
                case 3 -> fleet.mPeers.cut((from, to) -> to.equals(target.mName));
                case 4 -> fleet.mStore.refuse(name -> name.equals(target.mName));
                case 5 -> fleet.mStore.beSilentTo(name -> name.compareTo(target.mName) < 0);
                default -> {
                    fleet.mPeers.cut((from, to) -> false);
                    fleet.mStore.refuse(name -> false);
                    fleet.mStore.beSilentTo(name -> false);
                    fleet.mStore.dropHistory();
                }
            }
            fleet.writeVersion(fault + 2);
            fleet.advance(Duration.ofMillis(100 + random.nextInt(1500)));
        }
        fleet.mPeers.cut((from, to) -> false);
        fleet.mStore.refuse(name -> false);
        fleet.mStore.beSilentTo(name -> false);
        fleet.mRouters.stream().filter(router -> router.mFrozen).forEach(Router::thaw);
        fleet.advance(Duration.ofSeconds(12));
        fleet.running(router -> true)
                .forEach(router -> assertThat(router.mVersion).isEqualTo(fleet.newestVersion()));
        assertThat(fleet.relays()).hasSize(3);
    }

    private static void toggleFreeze(Router router) {
        if (router.mFrozen) {
            router.thaw();
        } else if (router.mRuns) {
            router.freeze();
        }
    }
}
