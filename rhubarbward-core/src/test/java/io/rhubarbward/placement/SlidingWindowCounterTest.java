package io.rhubarbward.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class SlidingWindowCounterTest {
    // Guards against a counter of a warm server that keeps the time of each request forever.
    @Test
    void eventsOutsideTheWindowAreDroppedAlthoughNobodyCounts() {
        SlidingWindowCounter counter = new SlidingWindowCounter(1000);
        for (long millis = 0; millis < 100_000; millis += 10) {
            counter.add(millis);
        }
        assertThat(counter.kept()).isAtMost(100);
        assertThat(counter.count(99_990)).isEqualTo(100);
    }
}
