package io.rhubarbward.move;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Measures how strongly one window of calls indicates that the new version is worse than the old
 * one.
 *
 * <p>Given the number of calls of each version and the number of bad calls in all, the bad calls of
 * the new version follow Fisher's noncentral hypergeometric distribution, whatever the ratio of bad
 * calls in that window was. A minute that is bad for the whole fleet is therefore no evidence
 * against the new version. The result is a likelihood ratio whose mean is at most 1 for every
 * version whose odds of a bad call are at most {@link #TOLERATED_ODDS_RATIO} times the old
 * version's.
 */
final class PairedEvidence {
    /** The highest odds ratio of bad calls, new version to old, that is not a fault. */
    static final double TOLERATED_ODDS_RATIO = 1.5;

    private static final double[] SUSPECTED_ODDS_RATIOS = {3, 8, 30};

    private PairedEvidence() {}

    /** Returns the number of suspected odds ratios that {@link #logRatios} tests. */
    static int alternativeCount() {
        return SUSPECTED_ODDS_RATIOS.length;
    }

    /** Returns the logarithm of the likelihood ratio for each suspected odds ratio. */
    static double[] logRatios(int newCalls, int newBad, int oldCalls, int oldBad) {
        int bad = newBad + oldBad;
        if (bad == 0 || newCalls == 0 || oldCalls == 0) {
            return new double[SUSPECTED_ODDS_RATIOS.length];
        }
        Totals totals = new Totals(newCalls, oldCalls, bad);
        double tolerated = totals.logLikelihood(newBad, TOLERATED_ODDS_RATIO);
        return Arrays.stream(SUSPECTED_ODDS_RATIOS)
                .map(oddsRatio -> totals.logLikelihood(newBad, oddsRatio) - tolerated)
                .toArray();
    }

    /** Returns the logarithm of the mean of ratios, given their logarithms. */
    static double logMean(double[] logRatios) {
        return logSum(logRatios) - Math.log(logRatios.length);
    }

    private static double logSum(double[] logs) {
        double max = Arrays.stream(logs).max().orElse(Double.NEGATIVE_INFINITY);
        return max + Math.log(Arrays.stream(logs).map(log -> Math.exp(log - max)).sum());
    }

    /**
     * The marginal totals of a window, on which the test is conditioned.
     *
     * @param newCalls calls of the new version
     * @param oldCalls calls of the old version
     * @param bad bad calls of both
     */
    private record Totals(int newCalls, int oldCalls, int bad) {
        double logLikelihood(int newBad, double oddsRatio) {
            int lowest = Math.max(0, bad - oldCalls);
            int highest = Math.min(newCalls, bad);
            double[] weights =
                    IntStream.rangeClosed(lowest, highest)
                            .mapToDouble(count -> logWeight(count, oddsRatio))
                            .toArray();
            return logWeight(newBad, oddsRatio) - logSum(weights);
        }

        private double logWeight(int count, double oddsRatio) {
            return LogFactorial.logBinomial(newCalls, count)
                    + LogFactorial.logBinomial(oldCalls, bad - count)
                    + count * Math.log(oddsRatio);
        }
    }
}
