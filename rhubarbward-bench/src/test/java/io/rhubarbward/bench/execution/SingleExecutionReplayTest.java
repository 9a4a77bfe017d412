package io.rhubarbward.bench.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class SingleExecutionReplayTest {
    @Property(tries = 12, seed = "4")
    void noKeyRunsTwiceAndNoRefusalIsUntrue(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5) int routers,
            @ForAll @IntRange(min = 50, max = 2000) int killMillis) {
        ReplayPlan plan =
                new ReplayPlan(
                        seed,
                        300,
                        100,
                        routers,
                        Duration.ofMillis(killMillis),
                        Duration.ofMillis(1500),
                        Duration.ofMillis(400));
        ReplayResult result = new SingleExecutionReplay(plan).run();
        assertThat(result.keysRunTwice()).isEqualTo(0);
        assertThat(result.untrueNotRun()).isEqualTo(0);
        assertThat(result.crossedAnswers()).isEqualTo(0);
    }
}
