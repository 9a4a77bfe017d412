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
    private static final int FAILURE_DETECTION_MILLIS = 5000;

    private final QuotaFleet mFleet = QuotaFleet.start(5, QuotaCapacity.concurrency(1));
    private final Router mFirst = mFleet.routers().get(0);
    private final Router mSecond = mFleet.routers().get(1);

    private static Set<String> liveRoutersSeenBy(Router router) {
        return Set.copyOf(router.membership().siteOwners("key", Integer.MAX_VALUE));
    }

    private void assertAllAgreeOn(List<Router> routers) {
        Set<String> names = routers.stream().map(Router::vm).collect(Collectors.toSet());
        routers.forEach(router -> assertThat(liveRoutersSeenBy(router)).isEqualTo(names));
    }

    @Test
    void allRoutersAgreeOnWhoIsLive() {
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void aDeadRouterThatIsStillListedOwnsNoKeys() {
        mSecond.crash();
        mFleet.advance(FAILURE_DETECTION_MILLIS);
        assertThat(liveRoutersSeenBy(mFirst)).doesNotContain(mSecond.vm());
        assertThat(mFirst.membership().peers().stream().map(Peer::vm).toList())
                .doesNotContain(mSecond.vm());
    }

    @Test
    void aNewRouterIsKnownBeforeOthersReadItFromTheVmList() {
        mFleet.add("entry-new");
        mFleet.advance(10);
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void crashAndRestartAreDetectedWhileThePlatformIsUnavailable() {
        mFleet.platformDown(true);
        mFleet.advance(10 * FAILURE_DETECTION_MILLIS);
        assertAllAgreeOn(mFleet.routers());
        mSecond.crash();
        mFleet.advance(FAILURE_DETECTION_MILLIS);
        assertThat(liveRoutersSeenBy(mFirst)).doesNotContain(mSecond.vm());
        mSecond.restart();
        mFleet.advance(3000);
        assertThat(liveRoutersSeenBy(mFirst)).contains(mSecond.vm());
    }

    @Test
    void aLinkThatFailsInOneDirectionLeavesBothRoutersLive() {
        mFleet.peers().cut((from, to) -> from.equals(mFirst.vm()) && to.equals(mSecond.vm()));
        for (int second = 0; second < 30; second++) {
            mFleet.advance(1000);
            assertAllAgreeOn(mFleet.routers());
        }
    }

    @Test
    void aFlappingRouterRarelyChangesTheOwners() {
        AtomicInteger ownerChanges = new AtomicInteger();
        mFirst.membership()
                .subscribe(
                        new MembershipListener() {
                            private Set<String> mLastSeen = liveRoutersSeenBy(mFirst);

                            @Override
                            public void onMembersChanged() {
                                if (!liveRoutersSeenBy(mFirst).equals(mLastSeen)) {
                                    mLastSeen = liveRoutersSeenBy(mFirst);
                                    ownerChanges.incrementAndGet();
                                }
                            }
                        });
        for (int flap = 0; flap < 10; flap++) {
            mFleet.peers().cut((from, to) -> from.equals(mSecond.vm()) || to.equals(mSecond.vm()));
            mFleet.advance(FAILURE_DETECTION_MILLIS);
            mFleet.peers().cut((from, to) -> false);
            mFleet.advance(2500);
        }
        // Without flap damping, each flap removes the router as an owner and adds it again:
        // 20 changes.
        assertThat(ownerChanges.get()).isAtMost(6);
        mFleet.advance(40_000);
        assertThat(liveRoutersSeenBy(mFirst)).contains(mSecond.vm());
    }

    @Test
    void aRouterThatResumesIsAcceptedAgainAndConsidersNobodyDead() {
        mSecond.pause();
        mFleet.advance(3 * FAILURE_DETECTION_MILLIS);
        assertThat(liveRoutersSeenBy(mFirst)).doesNotContain(mSecond.vm());
        mSecond.resume();
        assertThat(liveRoutersSeenBy(mSecond)).hasSize(5);
        mFleet.advance(10);
        assertAllAgreeOn(mFleet.routers());
    }

    @Test
    void aRestartIsReportedOnce() {
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
        mFleet.advance(FAILURE_DETECTION_MILLIS);
        assertThat(restarts.get()).isEqualTo(1);
        assertAllAgreeOn(mFleet.routers());
    }
}
