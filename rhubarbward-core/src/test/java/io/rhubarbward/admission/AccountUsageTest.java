package io.rhubarbward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class AccountUsageTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final AccountUsage mUsage = new AccountUsage(mTimers);

    @Test
    void ownRequestsCountUntilTheyAreRemoved() {
        mUsage.add("chat", "acme", 1.3);
        mUsage.add("chat", "acme", 2.1);
        mUsage.add("orders", "acme", 1);
        assertThat(mUsage.places("chat", "acme")).isWithin(1e-9).of(3.4);
        mUsage.remove("chat", "acme", 1.3);
        mUsage.remove("chat", "acme", 2.1);
        assertThat(mUsage.places("chat", "acme")).isEqualTo(0.0);
        assertThat(mUsage.ownPlaces("chat")).isEmpty();
        assertThat(mUsage.ownPlaces("orders")).containsExactly("acme", 1.0);
    }

    /** A router that hears nothing more must not go on with what others had long ago. */
    @Test
    void countsOfOtherRoutersExpire() {
        mUsage.add("chat", "acme", 2);
        mUsage.updateFromOthers(Map.of(AccountUsage.key("chat", "acme"), 35));
        assertThat(mUsage.places("chat", "acme")).isEqualTo(5.5);
        mTimers.advance(Duration.ofMillis(1500));
        assertThat(mUsage.places("chat", "acme")).isEqualTo(5.5);
        mTimers.advance(Duration.ofMillis(1));
        assertThat(mUsage.places("chat", "acme")).isEqualTo(2.0);
        assertThat(mUsage.placesByKey("chat"))
                .containsExactly(AccountUsage.key("chat", "acme"), 2.0);
    }

    /** An account that only other routers serve must not count at a service that it never uses. */
    @Test
    void accountsOfOtherRoutersAreToldApartByService() {
        mUsage.add("chat", "acme", 1);
        mUsage.updateFromOthers(
                Map.of(
                        AccountUsage.key("chat", "acme"), 10,
                        AccountUsage.key("chat", "zenith"), 25,
                        AccountUsage.key("grading", "zenith"), 70));
        assertThat(mUsage.placesByKey("chat"))
                .containsExactly(
                        AccountUsage.key("chat", "acme"), 2.0,
                        AccountUsage.key("chat", "zenith"), 2.5);
        assertThat(mUsage.placesByKey("grading"))
                .containsExactly(AccountUsage.key("grading", "zenith"), 7.0);
    }

    /** At the 16,000 accounts of the largest deployment planned, two must not share a count. */
    @Test
    void keysOfAllAccountsDiffer() {
        assertThat(
                        IntStream.range(0, 16_000)
                                .mapToObj(index -> AccountUsage.key("chat", "account-" + index))
                                .collect(Collectors.toSet()))
                .hasSize(16_000);
    }

    @Test
    void nothingIsReportedOfServicesWithRoom() {
        mUsage.add("chat", "acme", 1);
        mUsage.add("orders", "acme", 1.26);
        assertThat(mUsage.reported(service -> false)).isEmpty();
        assertThat(mUsage.reported("orders"::equals))
                .containsExactly(AccountUsage.key("orders", "acme"), 13);
    }

    /** Computing the room of a service costs time, and no account is to be reported. */
    @Test
    void aServiceWithoutOpenRequestsIsNotAskedForRoom() {
        mUsage.add("chat", "acme", 1);
        mUsage.remove("chat", "acme", 1);
        assertThat(
                        mUsage.reported(
                                service -> {
                                    throw new AssertionError(service);
                                }))
                .isEmpty();
    }

    @Test
    void theLargest64CountsAreReported() {
        IntStream.rangeClosed(1, 100).forEach(n -> mUsage.add("chat", "account-" + n, n));
        Map<Long, Integer> expected =
                IntStream.rangeClosed(37, 100)
                        .boxed()
                        .collect(
                                Collectors.toMap(
                                        n -> AccountUsage.key("chat", "account-" + n),
                                        n -> 10 * n));
        assertThat(mUsage.reported(service -> true)).isEqualTo(expected);
    }

    /** Two aggregators with the same sum must not send different entries of it. */
    @Test
    void ofEqualCountsThoseWithTheSmallestKeysAreKept() {
        Map<Long, Integer> counts = new HashMap<>();
        for (long key = 400; key > 0; key--) {
            counts.put(key, key > 300 ? 9 : 4);
        }
        Map<Long, Integer> largest = AccountUsage.largest(counts, 256);
        assertThat(largest).hasSize(256);
        for (long key = 1; key <= 400; key++) {
            assertThat(largest.containsKey(key)).isEqualTo(key <= 156 || key > 300);
        }
    }
}
