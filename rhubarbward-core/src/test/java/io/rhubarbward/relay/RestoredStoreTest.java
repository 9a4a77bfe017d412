package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A store that comes back from a copy some seconds old. {@link RelayFleet} checks after every step
 * that no router goes back and that no confirmation is understated in age.
 */
final class RestoredStoreTest {
    private static final Duration COPY_AGE = Duration.ofSeconds(9);

    private final RelayFleet mFleet = new RelayFleet(11);

    private void startThreeDataCentres() {
        mFleet.mStore.put(RelayFleet.SERVERS, "e-1", "ready");
        mFleet.startRouters(3, "a", "b", "c");
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

    private void restoreAfterOutage(Duration outage) {
        mFleet.mStore.refuse(router -> true);
        mFleet.advance(outage);
        mFleet.mStore.restore(COPY_AGE.plus(outage));
        mFleet.mStore.refuse(router -> false);
    }

    /** Guards against routers that hear nothing of a change after the store was restored. */
    @Test
    void aChangeAfterARestoreReachesAllRoutersWithinASecond() {
        startThreeDataCentres();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(3));
        mFleet.writeVersion(3);
        mFleet.mStore.put(RelayFleet.SERVERS, "e-2", "ready");
        mFleet.advance(Duration.ofSeconds(3));
        restoreAfterOutage(Duration.ofSeconds(2));
        mFleet.advance(Duration.ofSeconds(1));
        mFleet.mStore.put(RelayFleet.SERVERS, "e-2", "ready");
        mFleet.advance(Duration.ofSeconds(4));
        mFleet.writeVersion(4);
        mFleet.mStore.put(RelayFleet.SERVERS, "e-3", "ready");
        mFleet.advance(Duration.ofSeconds(1));
        assertAllUpToDate();
    }

    /** Guards against routers that list without a pause since their revision is gone. */
    @Test
    void aRestoreCostsNoMoreCallsThanAColdStart() {
        startThreeDataCentres();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(3));
        restoreAfterOutage(Duration.ofSeconds(2));
        int before = mFleet.mStore.calls();
        mFleet.advance(Duration.ofSeconds(10));
        double calls = mFleet.mStore.calls() - before;
        assertThat(calls / mFleet.mRouters.size()).isLessThan(15.0);
    }

    private void startAndLoseVersion3() {
        startThreeDataCentres();
        mFleet.writeVersion(2);
        mFleet.advance(Duration.ofSeconds(10));
        mFleet.writeVersion(3);
        mFleet.advance(Duration.ofSeconds(1));
    }

    private void writeAgain() {
        mFleet.mStore.put(RelayFleet.CONFIG, "main", "3");
    }

    private void assertNextVersionReachesAll() {
        mFleet.writeVersion(4);
        mFleet.advance(Duration.ofSeconds(1));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(mFleet.running(router -> true).size());
    }

    /** Guards against a key whose removal is lost and that a list of the copy makes trusted. */
    @Test
    void noKeyIsTrustedForLongUntilTheLostConfigurationIsWrittenAgain() {
        startAndLoseVersion3();
        restoreAfterOutage(Duration.ofSeconds(1));
        int before = mFleet.mStore.calls();
        mFleet.advance(Duration.ofSeconds(8));
        assertThat(mFleet.trusted()).isEmpty();
        assertThat(mFleet.relays()).hasSize(3);
        assertThat((mFleet.mStore.calls() - before) / 9.0).isLessThan(15.0);
        writeAgain();
        mFleet.advance(Duration.ofSeconds(1));
        assertThat(mFleet.trusted()).hasSize(9);
        assertNextVersionReachesAll();
    }

    @Test
    void aRestoreThatNoRouterNoticesAsAnOutage() {
        startAndLoseVersion3();
        mFleet.mStore.restore(COPY_AGE);
        writeAgain();
        mFleet.advance(Duration.ofSeconds(2));
        assertNextVersionReachesAll();
    }

    @Test
    void twoRestoresInARow() {
        startAndLoseVersion3();
        restoreAfterOutage(Duration.ofMillis(400));
        writeAgain();
        mFleet.advance(Duration.ofMillis(300));
        restoreAfterOutage(Duration.ofMillis(400));
        writeAgain();
        mFleet.advance(Duration.ofSeconds(2));
        assertNextVersionReachesAll();
    }

    @Test
    void aRouterThatIsFrozenThroughARestore() {
        startAndLoseVersion3();
        RelayFleet.Router relay = mFleet.relayOf("a");
        relay.freeze();
        restoreAfterOutage(Duration.ofSeconds(1));
        writeAgain();
        mFleet.advance(Duration.ofSeconds(4));
        relay.thaw();
        mFleet.advance(Duration.ofSeconds(2));
        assertNextVersionReachesAll();
    }

    @Test
    void aRouterThatStartsWhileTheStoreIsOut() {
        startAndLoseVersion3();
        RelayFleet.Router router = mFleet.relayOf("b");
        mFleet.mStore.refuse(any -> true);
        router.restart();
        mFleet.advance(Duration.ofSeconds(1));
        mFleet.mStore.restore(COPY_AGE);
        mFleet.mStore.refuse(any -> false);
        writeAgain();
        mFleet.advance(Duration.ofSeconds(4));
        assertNextVersionReachesAll();
    }

    /** Its followers learn of the new era from the store and tell the relay. */
    @Test
    void aRelayThatIsCutOffFromTheStoreThroughARestore() {
        startAndLoseVersion3();
        RelayFleet.Router relay = mFleet.relayOf("a");
        mFleet.mStore.beSilentTo(relay.mName::equals);
        mFleet.mStore.restore(COPY_AGE);
        writeAgain();
        mFleet.advance(Duration.ofSeconds(5));
        assertNextVersionReachesAll();
        mFleet.mStore.beSilentTo(any -> false);
        mFleet.advance(Duration.ofSeconds(30));
        mFleet.writeVersion(5);
        mFleet.advance(Duration.ofSeconds(1));
        assertAllUpToDate();
    }

    @Test
    void aFollowerThatIsCutOffThroughARestoreAndHalfAMinuteAfterIt() {
        startAndLoseVersion3();
        RelayFleet.Router relay = mFleet.relayOf("a");
        RelayFleet.Router follower =
                mFleet.running(router -> router.mDataCentre.equals("a") && router != relay).get(0);
        mFleet.mStore.beSilentTo(follower.mName::equals);
        mFleet.mPeers.cut((from, to) -> from.equals(follower.mName) || to.equals(follower.mName));
        restoreAfterOutage(Duration.ofSeconds(1));
        writeAgain();
        mFleet.advance(Duration.ofSeconds(30));
        assertThat(mFleet.trusted()).doesNotContain(follower);
        mFleet.mStore.beSilentTo(any -> false);
        mFleet.mPeers.cut((from, to) -> false);
        mFleet.advance(Duration.ofSeconds(4));
        assertNextVersionReachesAll();
    }

    /** Guards against routers that confirm each other's state with no call to the store. */
    @Test
    void routersThatReachOnlyEachOtherTrustNoKeyForLong() {
        startAndLoseVersion3();
        restoreAfterOutage(Duration.ofSeconds(1));
        writeAgain();
        mFleet.advance(Duration.ofSeconds(1));
        mFleet.mStore.refuse(any -> true);
        mFleet.advance(Duration.ofSeconds(5));
        assertThat(mFleet.trusted()).isEmpty();
    }

    /** What the copy lacks is kept until its writers had time, and is gone without them. */
    @Test
    void objectsThatTheCopyLacksAreKeptForAWhile() {
        startThreeDataCentres();
        mFleet.mStore.put(RelayFleet.SERVERS, "e-2", "ready");
        mFleet.mStore.put(RelayFleet.SERVERS, "e-3", "ready");
        mFleet.advance(Duration.ofSeconds(3));
        restoreAfterOutage(Duration.ofSeconds(1));
        mFleet.advance(Duration.ofMillis(1500));
        mFleet.running(any -> true)
                .forEach(router -> assertThat(router.mKnownServers.keySet()).hasSize(3));
        mFleet.mStore.put(RelayFleet.SERVERS, "e-2", "ready");
        mFleet.advance(Duration.ofSeconds(6));
        assertAllUpToDate();
    }

    /** Restores of random age beside outages, restarts, freezes and cut links. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void restoresAmongOtherFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        startThreeDataCentres();
        for (int round = 0; round < 12; round++) {
            RelayFleet.Router disturbed = mFleet.mRouters.get(random.nextInt(9));
            disturb(disturbed, random.nextInt(4));
            mFleet.writeVersion(mFleet.newestVersion() + 1);
            mFleet.advance(Duration.ofMillis(random.nextInt(1500)));
            mFleet.mStore.refuse(router -> true);
            mFleet.advance(Duration.ofMillis(random.nextInt(2000)));
            mFleet.mStore.restore(Duration.ofMillis(random.nextInt(15_000)));
            mFleet.mStore.refuse(router -> false);
            writeAllAgain();
            mFleet.advance(Duration.ofMillis(random.nextInt(4000)));
            heal(disturbed);
        }
        mFleet.advance(Duration.ofSeconds(12));
        mFleet.writeVersion(mFleet.newestVersion() + 1);
        mFleet.advance(Duration.ofSeconds(1));
        assertAllUpToDate();
        assertThat(mFleet.trusted()).hasSize(9);
    }

    private void disturb(RelayFleet.Router router, int kind) {
        switch (kind) {
            case 0 -> router.freeze();
            case 1 -> router.restart();
            case 2 -> mFleet.mStore.beSilentTo(router.mName::equals);
            default ->
                    mFleet.mPeers.cut(
                            (from, to) -> from.equals(router.mName) || to.equals(router.mName));
        }
    }

    private void heal(RelayFleet.Router router) {
        if (router.mFrozen) {
            router.thaw();
        }
        mFleet.mStore.beSilentTo(any -> false);
        mFleet.mPeers.cut((from, to) -> false);
    }

    private void writeAllAgain() {
        mFleet.mStore.put(RelayFleet.CONFIG, "main", String.valueOf(mFleet.newestVersion()));
        mFleet.mStore.put(RelayFleet.SERVERS, "e-1", "ready");
        mFleet.mRouters.forEach(RelayFleet.Router::announce);
    }
}
