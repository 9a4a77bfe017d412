package io.rhubarbward.directory;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class FleetLimitSplitterTest {
    private static Set<String> routerNames(int count) {
        return new TreeSet<>(
                IntStream.range(0, count).mapToObj(index -> "front-" + index).toList());
    }

    @Property(tries = 200)
    void sharesOfAllListedRoutersAddUpToTheLimit(
            @ForAll @IntRange(min = 1, max = 90) int routers,
            @ForAll @IntRange(max = 60) int limit) {
        Set<String> names = routerNames(routers);
        int sum =
                names.stream()
                        .mapToInt(
                                name ->
                                        new FleetLimitSplitter(name, () -> names)
                                                .share(limit, "i-1"))
                        .sum();
        assertThat(sum).isEqualTo(limit);
    }

    @Test
    void aLimitBelowTheRouterCountGivesThatManyRoutersOneUnitEach() {
        Set<String> names = routerNames(40);
        List<Integer> shares =
                names.stream()
                        .map(name -> new FleetLimitSplitter(name, () -> names).share(20, "i-1"))
                        .toList();
        assertThat(shares.stream().filter(share -> share == 1).count()).isEqualTo(20);
        assertThat(shares).doesNotContain(2);
    }

    @Test
    void aRouterThatIsNotListedYetEstimatesTheCountHigh() {
        assertThat(new FleetLimitSplitter("new", Set::of).routerCount()).isEqualTo(16);
        assertThat(new FleetLimitSplitter("new", () -> routerNames(30)).routerCount())
                .isEqualTo(31);
    }
}
