package io.rhubarbward.store;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.PlatformFailure.Reason;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RateLimitedObjectStoreTest {
    private static final int READS_PER_SECOND = 50;
    private static final int WRITES_PER_SECOND = 10;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final RateLimitedObjectStore mBudgeted =
            new RateLimitedObjectStore(
                    mStore,
                    mTimers,
                    new RateLimitedObjectStore.Budget(READS_PER_SECOND, WRITES_PER_SECOND));

    @Test
    void callsBeyondTheBudgetWaitTheirTurnAndAllCome() {
        int calls = 3 * WRITES_PER_SECOND;
        IntStream.range(0, calls)
                .forEach(number -> mBudgeted.create(ObjectKey.of("claims/" + number), ""));
        assertThat(mStore.writes()).isEqualTo(WRITES_PER_SECOND);
        mTimers.advance(Duration.ofSeconds(1));
        assertThat(mStore.writes()).isEqualTo(2 * WRITES_PER_SECOND);
        mTimers.advance(Duration.ofSeconds(1));
        assertThat(mStore.writes()).isEqualTo(calls);
    }

    @Test
    void statusGivesWayToConfigurationAndClaims() {
        IntStream.range(0, READS_PER_SECOND).forEach(n -> mBudgeted.list("status/"));
        assertThat(mStore.reads()).isAtMost(READS_PER_SECOND / 2);
        long before = mStore.reads();
        mBudgeted.read(ObjectKey.of("config/head"));
        assertThat(mStore.reads()).isEqualTo(before + 1);
    }

    @Test
    void aCallThatWouldWaitTooLongIsRefusedAsNotSent() {
        int longest = 10 * WRITES_PER_SECOND + WRITES_PER_SECOND;
        IntStream.range(0, longest)
                .forEach(number -> mBudgeted.create(ObjectKey.of("claims/" + number), ""));
        AtomicReference<PlatformFailure> refused = new AtomicReference<>();
        mBudgeted
                .create(ObjectKey.of("claims/last"), "")
                .thenAccept(result -> refused.set(result.getLeft()));
        assertThat(Objects.requireNonNull(refused.get()))
                .isEqualTo(new PlatformFailure.Unavailable(Reason.OVER_BUDGET));
    }
}
