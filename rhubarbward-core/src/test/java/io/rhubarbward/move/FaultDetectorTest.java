package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class FaultDetectorTest {
    private static final double ACCEPTED_RATIO = 0.01;

    @Test
    void theMeanLikelihoodRatioOfAVersionAtTheToleratedOddsRatioIsOne() {
        // Sums over all distributions of 6 bad calls among 10 new and 30 old calls.
        double mean = 0;
        double total = 0;
        for (int bad = 0; bad <= 6; bad++) {
            double weight =
                    Math.exp(
                                    LogFactorial.logBinomial(10, bad)
                                            + LogFactorial.logBinomial(30, 6 - bad))
                            * Math.pow(PairedEvidence.TOLERATED_ODDS_RATIO, bad);
            total += weight;
            mean +=
                    weight
                            * Math.exp(
                                    PairedEvidence.logMean(
                                            PairedEvidence.logRatios(10, bad, 30, 6 - bad)));
        }
        assertThat(mean / total).isWithin(1e-9).of(1);
    }

    @Test
    void aBadMinuteOfTheWholeFleetIsNoFault() {
        FaultDetector detector = new FaultDetector();
        SplittableRandom random = new SplittableRandom(5);
        boolean fault =
                IntStream.range(0, 12)
                        .anyMatch(w -> addRandomWindow(detector, random, 100, 0.5, 100, 0.5));
        assertThat(fault).isFalse();
    }

    @Test
    void goodHoursDoNotHideALaterFault() {
        FaultDetector detector = new FaultDetector();
        SplittableRandom random = new SplittableRandom(6);
        IntStream.range(0, 2_000)
                .forEach(w -> addRandomWindow(detector, random, 50, 0.01, 50, 0.01));
        boolean fault =
                IntStream.range(0, 12)
                        .anyMatch(w -> addRandomWindow(detector, random, 50, 0.3, 50, 0.01));
        assertThat(fault).isTrue();
    }

    @Test
    void aWorseErrorRatioThatTheRuleAcceptsIsNoFault() {
        FaultDetector detector = new FaultDetector();
        boolean fault =
                IntStream.range(0, 1_000)
                        .anyMatch(w -> detector.addWindow(1_000, 5, 1_000, 0, ACCEPTED_RATIO));
        assertThat(fault).isFalse();
    }

    @Test
    void theEvidenceOfLargeCountsIsFinite() {
        double[] ratios = PairedEvidence.logRatios(100_000, 30_000, 5_000, 10);
        assertThat(PairedEvidence.logMean(ratios)).isGreaterThan(FaultDetector.LOG_THRESHOLD);
        assertThat(PairedEvidence.logMean(ratios)).isFinite();
    }

    private static boolean addRandomWindow(
            FaultDetector detector,
            SplittableRandom random,
            int newCalls,
            double newRatio,
            int oldCalls,
            double oldRatio) {
        return detector.addWindow(
                newCalls,
                randomBadCalls(random, newCalls, newRatio),
                oldCalls,
                randomBadCalls(random, oldCalls, oldRatio),
                ACCEPTED_RATIO);
    }

    private static int randomBadCalls(SplittableRandom random, int calls, double ratio) {
        return (int) IntStream.range(0, calls).filter(c -> random.nextDouble() < ratio).count();
    }
}
