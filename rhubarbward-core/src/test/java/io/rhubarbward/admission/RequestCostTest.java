package io.rhubarbward.admission;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.testing.Catalogs;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that hold more memory than they are counted for. */
final class RequestCostTest {
    /** An engine with 64 slots and memory for 567,890 tokens has 8,873 tokens for each slot. */
    private static final ServiceProfile ENGINES =
            new ServiceProfile(
                    "chat",
                    100,
                    Duration.ZERO,
                    0,
                    true,
                    Optional.of(new EngineCapacity(64, 567_890)));

    @ParameterizedTest
    @CsvSource({
        "0, 1",
        "830, 1",
        "8873, 1",
        "11848, 1.335",
        "88733, 10",
        "567890, 64",
        "5000000, 64",
    })
    void aRequestTakesPlacesByItsMemoryFromOneToAllOfAnEngine(long tokens, double places) {
        assertThat(RequestCost.places(ENGINES, tokens)).isWithin(0.001).of(places);
    }

    @ParameterizedTest
    @CsvSource({"0", "5000000"})
    void aRequestTakesOnePlaceWhereNoCapacityIsStated(long tokens) {
        assertThat(RequestCost.places(Catalogs.ENGINE_SERVICE, tokens)).isEqualTo(1.0);
        assertThat(RequestCost.places(Catalogs.PLAIN_SERVICE, tokens)).isEqualTo(1.0);
    }
}
