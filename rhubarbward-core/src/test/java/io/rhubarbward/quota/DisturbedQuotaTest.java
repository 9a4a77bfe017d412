package io.rhubarbward.quota;

import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.testing.QuotaFleet;
import io.rhubarbward.testing.QuotaFleet.Router;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Quota messages are lost, duplicated and reordered while the routers agree on who is live. */
final class DisturbedQuotaTest {
    private static final int CAPACITY = 16;
    private static final int STEPS = 2000;
    private static final int MAX_STEP_MILLIS = 20;
    private static final int RECOVERY_MILLIS = 40_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void unitsInUseNeverExceedTheCapacityAndEveryUnitIsFreedInTheEnd(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        QuotaFleet fleet = QuotaFleet.start(5, QuotaCapacity.concurrency(CAPACITY));
        fleet.peers()
                .injectFaults(
                        random, 0.2, 60, QuotaAsk.class, QuotaAnswer.class, HoldingsQuery.class);
        for (int step = 0; step < STEPS; step++) {
            Router router = fleet.routers().get(random.nextInt(fleet.routers().size()));
            if (random.nextInt(3) > 0) {
                router.acquire(1 + random.nextInt(3));
            } else {
                router.finish();
            }
            fleet.advance(random.nextInt(MAX_STEP_MILLIS));
            assertWithMessage("seed %s, step %s", seed, step)
                    .that(fleet.running())
                    .isAtMost(CAPACITY);
            assertWithMessage("leased, seed %s, step %s", seed, step)
                    .that(fleet.leased())
                    .isAtMost(CAPACITY - 1);
        }
        fleet.peers().clearFaults();
        fleet.routers().forEach(Router::finishAll);
        fleet.advance(RECOVERY_MILLIS);
        fleet.routers().forEach(router -> router.acquire(CAPACITY));
        fleet.advance(MAX_STEP_MILLIS);
        assertWithMessage("seed %s", seed).that(fleet.running()).isEqualTo(CAPACITY - 1);
    }
}
