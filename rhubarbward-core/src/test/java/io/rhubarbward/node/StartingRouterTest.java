package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.RouterFleet;
import org.junit.jupiter.api.Test;

/** Tests what a router must have read from the store before it is sent requests. */
final class StartingRouterTest {
    /** Guards against a version on trial that gets its full part from a router that started. */
    @Test
    void aRouterThatHasNotReadTheRolloutsIsNotReady() {
        // Each router is its data centre's only one, so that no relay tells it of the rollouts.
        RouterFleet fleet = new RouterFleet(1, 3, 6);
        RouterFleet.Router router = fleet.mRouters.get(0);
        fleet.mStore.refuseKinds(RouterFleet.ROLLOUTS::equals);
        router.restart();
        fleet.advance(2000);
        assertThat(router.ready()).isFalse();
        fleet.mStore.refuseKinds(kind -> false);
        fleet.advance(2000);
        assertThat(router.ready()).isTrue();
    }

    /** Guards against a router that waits for orders, and pays for calls, where there are none. */
    @Test
    void aRouterReadsNoRolloutsWhereTheyAreNotInForce() {
        RouterFleet fleet = new RouterFleet(1, 3, 6, 64, 0);
        RouterFleet.Router router = fleet.mRouters.get(0);
        fleet.mStore.refuseKinds(RouterFleet.ROLLOUTS::equals);
        router.restart();
        fleet.advance(2000);
        assertThat(router.ready()).isTrue();
    }
}
