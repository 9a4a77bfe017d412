package io.rhubarbward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class AccountSharesTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    void accountsThatUseLessLeaveTheRestToOthers() {
        assertThat(AccountShares.level(List.of(10.0, 50.0, 80.0), 100)).isWithin(TOLERANCE).of(45);
        assertThat(AccountShares.level(List.of(80.0, 80.0), 100)).isWithin(TOLERANCE).of(50);
    }

    @Test
    void noAccountIsLimitedWhileAllGetWhatTheyWant() {
        assertThat(AccountShares.level(List.of(10.0, 50.0), 100)).isPositiveInfinity();
    }

    @Test
    void aSingleAccountIsNeverLimited() {
        AccountShares shares =
                AccountShares.of(
                        new ServiceRoom(100, 100, 0), Map.of(1L, 100.0), Map.of(1L, 900.0));
        assertThat(shares.exceeded(1, 1)).isFalse();
    }

    // Otherwise a request with more places than its account's share would never run.
    @Test
    void anAccountWithNothingInUseIsNotOverItsShare() {
        AccountShares shares =
                AccountShares.of(
                        new ServiceRoom(4, 4, 0),
                        Map.of(1L, 4.0),
                        Map.of(1L, 9.0, 2L, 9.0, 3L, 9.0, 4L, 9.0));
        assertThat(shares.exceeded(2, 8)).isFalse();
        assertThat(shares.exceeded(1, 1)).isTrue();
    }

    // Guards against counting as free what accounts use that are too small to be reported.
    @Test
    void whatUnknownAccountsUseIsNotDivided() {
        AccountShares shares =
                AccountShares.of(
                        new ServiceRoom(100, 90, 0),
                        Map.of(1L, 40.0, 2L, 10.0),
                        Map.of(1L, 60.0, 2L, 30.0));
        assertThat(shares.level()).isWithin(TOLERANCE).of(0.95 * 60 / 2);
    }

    @Test
    void accountsThatOnlyOtherRoutersSeeAreFoundByTheirService() {
        VirtualTimerService timers = new VirtualTimerService();
        AccountUsage usage = new AccountUsage(timers);
        long own = AccountUsage.key("chat", "own");
        long far = AccountUsage.key("chat", "far");
        usage.add("chat", "own", 2);
        usage.updateFromOthers(Map.of(own, 15, far, 30, AccountUsage.key("other", "far"), 70));
        assertThat(usage.placesByKey("chat")).containsExactly(own, 3.5, far, 3.0);
        timers.advance(Duration.ofMillis(1501));
        assertThat(usage.placesByKey("chat")).containsExactly(own, 2.0);
    }
}
