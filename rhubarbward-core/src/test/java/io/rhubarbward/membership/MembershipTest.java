package io.rhubarbward.membership;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.quota.QuotaCapacity;
import io.rhubarbward.testing.QuotaFleet;
import io.rhubarbward.testing.QuotaFleet.Router;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private static final int DEAD_MILLIS = 5000;

    private final QuotaFleet mFleet = QuotaFleet.start(5, QuotaCapacity.concurrency(1));
    private final Router mFirst = mFleet.routers().get(0);
    private final Router mSecond = mFleet.routers().get(1);

    private static Set<String> seenBy(Router router) {
        return Set.copyOf(router.membership().siteOwners("key", Integer.MAX_VALUE));
    }

    private void assertAllAgreeOn(List<Router> routers) {
        Set<String> names = routers.stream().map(Router::vm).collect(Collectors.toSet());
        routers.forEach(router -> assertThat(seenBy(router)).isEqualTo(names));
    }

    @Test
    void allAgreeOnWhoIsLive() {
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void aDeadVmThatIsStillListedOwnsNothing() {
        mSecond.crash();
        mFleet.advance(DEAD_MILLIS);
        assertThat(seenBy(mFirst)).doesNotContain(mSecond.vm());
        assertThat(mFirst.membership().peers().stream().map(Peer::vm).toList())
                .doesNotContain(mSecond.vm());
    }

    @Test
    void aNewVmIsKnownBeforeTheListOfOthersShowsIt() {
        mFleet.add("entry-new");
        mFleet.advance(10);
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void membershipGoesOnWhileThePlatformIsOut() {
        mFleet.platformDown(true);
        mFleet.advance(10 * DEAD_MILLIS);
        assertAllAgreeOn(mFleet.routers());
        mSecond.crash();
        mFleet.advance(DEAD_MILLIS);
        assertThat(seenBy(mFirst)).doesNotContain(mSecond.vm());
        mSecond.restart();
        mFleet.advance(3000);
        assertThat(seenBy(mFirst)).contains(mSecond.vm());
    }

    @Test
    void oneWaySilenceBetweenTwoRoutersLeavesBothLive() {
        mFleet.peers().cut((from, to) -> from.equals(mFirst.vm()) && to.equals(mSecond.vm()));
        for (int second = 0; second < 30; second++) {
            mFleet.advance(1000);
            assertAllAgreeOn(mFleet.routers());
        }
    }

    @Test
    void aRouterThatKeepsComingBackMovesFewKeys() {
        AtomicInteger changes = new AtomicInteger();
        mFirst.membership()
                .subscribe(
                        new MembershipListener() {
                            private Set<String> mSeen = seenBy(mFirst);

                            @Override
                            public void onMembersChanged() {
                                if (!seenBy(mFirst).equals(mSeen)) {
                                    mSeen = seenBy(mFirst);
                                    changes.incrementAndGet();
                                }
                            }
                        });
        for (int flap = 0; flap < 10; flap++) {
            mFleet.peers().cut((from, to) -> from.equals(mSecond.vm()) || to.equals(mSecond.vm()));
            mFleet.advance(DEAD_MILLIS);
            mFleet.peers().cut((from, to) -> false);
            mFleet.advance(2500);
        }
        // Unchecked, each flap takes the router's keys away and gives them back: 20 changes.
        assertThat(changes.get()).isAtMost(6);
        mFleet.advance(40_000);
        assertThat(seenBy(mFirst)).contains(mSecond.vm());
    }

    @Test
    void aProcessThatWakesIsTakenBackAndJudgesNobodyByItsOwnSilence() {
        mSecond.pause();
        mFleet.advance(3 * DEAD_MILLIS);
        assertThat(seenBy(mFirst)).doesNotContain(mSecond.vm());
        mSecond.wake();
        assertThat(seenBy(mSecond)).hasSize(5);
        mFleet.advance(10);
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void aRestartIsToldOnce() {
        AtomicInteger restarts = new AtomicInteger();
        mFirst.membership()
                .subscribe(
                        new MembershipListener() {
                            @Override
                            public void onRestarted(String vm) {
                                restarts.incrementAndGet();
                            }
                        });
        mSecond.restart();
        mFleet.advance(DEAD_MILLIS);
        assertThat(restarts.get()).isEqualTo(1);
        assertAllAgreeOn(mFleet.routers());
    }
}
