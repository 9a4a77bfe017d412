package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.move.RolloutOrder;
import io.rhubarbward.testing.RouterFleet;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs whole routers on a store that comes back from an older copy. */
final class RestoredStoreTest {
    private static final Duration OUTAGE = Duration.ofSeconds(2);

    private final RouterFleet mFleet = new RouterFleet(5, 9, 9);
    private long mOrderedMillis;

    private void play(long millis) {
        for (long step = 0; step < millis; step += 15) {
            mFleet.send("sys-1,doc-" + mFleet.mRandom.nextInt(60));
            mFleet.advance(15);
        }
    }

    private long arrivalsAtTarget() {
        return mFleet.mServers.arrivals().stream()
                .filter(arrival -> arrival.server().startsWith("n-"))
                .count();
    }

    private void order() {
        mFleet.orderRollout("v2", Duration.ofSeconds(15));
        for (int server = 0; server < 5; server++) {
            mFleet.addServer("n-" + server, List.of("a", "b", "c").get(server % 3), "v2");
        }
    }

    private void orderFailingVersion() {
        mFleet.mServers.answerTime(
                server -> Duration.ofMillis(server.startsWith("n-") ? 4000 : 500));
        play(4000);
        mOrderedMillis = mFleet.mTimers.nowMillis();
        order();
        for (int second = 0;
                second < 15 && mFleet.rolloutState() != RolloutOrder.State.ROLLED_BACK;
                second++) {
            play(1000);
        }
        assertThat(mFleet.rolloutState()).isEqualTo(RolloutOrder.State.ROLLED_BACK);
    }

    /** Guards against a version that is tried again since the store lost that it was undone. */
    @Test
    void aRolledBackVersionStaysSoAndItsOutcomeIsWrittenAgain() {
        orderFailingVersion();
        long before = arrivalsAtTarget();
        mFleet.restoreStore(Duration.ofSeconds(1), OUTAGE);
        assertThat(mFleet.rolloutState()).isNotEqualTo(RolloutOrder.State.ROLLED_BACK);
        play(3000);
        assertThat(mFleet.rolloutState()).isEqualTo(RolloutOrder.State.ROLLED_BACK);
        assertThat(arrivalsAtTarget()).isEqualTo(before);
    }

    /** Guards against an order that is judged anew since the store lost it with its outcome. */
    @Test
    void anOrderThatTheOperatorWritesAgainKeepsItsOutcome() {
        orderFailingVersion();
        long before = arrivalsAtTarget();
        long sinceOrderMillis = mFleet.mTimers.nowMillis() - mOrderedMillis;
        mFleet.restoreStore(Duration.ofMillis(sinceOrderMillis + 100), OUTAGE);
        play(1000);
        order();
        play(3000);
        assertThat(mFleet.rolloutState()).isEqualTo(RolloutOrder.State.ROLLED_BACK);
        assertThat(arrivalsAtTarget()).isEqualTo(before);
    }

    /** Guards against routers that nobody knows of since the store lost their entries. */
    @Test
    void routersListThemselvesAgainOnceEach() {
        int routers = mFleet.listedRouters().size();
        int before = mFleet.announcements();
        mFleet.restoreStore(Duration.ofSeconds(20), OUTAGE);
        assertThat(mFleet.listedRouters()).isEmpty();
        mFleet.advance(2000);
        assertThat(mFleet.listedRouters()).hasSize(routers);
        assertThat(mFleet.announcements() - before).isEqualTo(routers);
    }
}
