package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which retries a router's share of the fleet's budget allows, and what it keeps for that. */
final class LocalRetryBudgetTest {
    private static final int WINDOW_SECONDS = 10;
    private static final int REQUESTS_PER_SECOND = 20;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final LocalRetryBudget mBudget =
            new LocalRetryBudget(
                    new LocalRetryBudget.Bound(0.2, Duration.ofSeconds(WINDOW_SECONDS), 0),
                    mTimers,
                    new FleetLimitSplitter("front-1", () -> Set.of("front-1")));

    private void recordRequests(int seconds) {
        for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
            mTimers.advance(Duration.ofSeconds(1).dividedBy(REQUESTS_PER_SECOND));
            mBudget.recordRequest("orders");
        }
    }

    /** Guards against memory that grows with each request while a service needs no retry. */
    @Test
    void requestsOlderThanTheWindowAreNotKept() {
        recordRequests(100 * WINDOW_SECONDS);
        assertThat(mBudget.timesKept("orders")).isAtMost(WINDOW_SECONDS * REQUESTS_PER_SECOND + 1);
    }

    @Test
    void requestsInTheWindowAllowTheirShareOfRetries() {
        recordRequests(WINDOW_SECONDS);
        int allowed = 0;
        while (mBudget.tryAcquire("orders")) {
            allowed++;
        }
        // Four fifths of a fifth of the requests.
        assertThat(allowed).isEqualTo((int) (0.8 * 0.2 * WINDOW_SECONDS * REQUESTS_PER_SECOND));
        mTimers.advance(Duration.ofSeconds(WINDOW_SECONDS + 1));
        assertThat(mBudget.tryAcquire("orders")).isFalse();
    }
}
