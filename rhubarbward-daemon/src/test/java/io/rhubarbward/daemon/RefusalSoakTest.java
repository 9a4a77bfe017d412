package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What callers are told by routers whose replicas decline, and answer too often.
 *
 * <p>Other seeds by hand: {@code -DrefusalSoak.firstSeed=101 -DrefusalSoak.seeds=50}.
 */
final class RefusalSoakTest {
    private static final System.Logger LOGGER = System.getLogger("rhubarbward.refusal-soak");
    private static final int REQUESTS = 1500;
    private static final int SEEDS = 3;

    static LongStream seeds() {
        long first = Long.getLong("refusalSoak.firstSeed", 1);
        return LongStream.range(first, first + Integer.getInteger("refusalSoak.seeds", SEEDS));
    }

    /** Guards against refusals of requests that ran, second runs and answers of others. */
    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(120)
    void callersAreToldWhatRan(long seed) throws Exception {
        ClosedConnectionLog closed = new ClosedConnectionLog();
        RefusalSoak.Result result = RefusalSoak.run(new RefusalSoak.Plan(seed, REQUESTS), closed);
        LOGGER.log(System.Logger.Level.INFO, "seed {0}: {1}", seed, result);
        assertThat(result.verdicts()).hasSize(REQUESTS);
        assertThat(result.withStatus(200)).isGreaterThan(0);
        assertThat(result.counts().copies()).isGreaterThan(0);
        assertThat(result.counts().sentAgain()).isGreaterThan(0);
        assertThat(result.counts().sentAgainOnConnection()).isEqualTo(0);
        assertThat(result.ids(RefusalVerdict.Failure.REFUSED)).isEmpty();
        assertThat(result.ids(RefusalVerdict.Failure.TWICE)).isEmpty();
        assertThat(result.ids(RefusalVerdict.Failure.MIXED)).isEmpty();
        assertThat(closed.fields()).isEmpty();
    }
}
