package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.RouterFleet;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Runs whole routers on a store that comes back from an older copy. */
final class RestoredStoreTest {
    private static final Duration OUTAGE = Duration.ofSeconds(2);

    private final RouterFleet mFleet = new RouterFleet(5, 9, 9);

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
