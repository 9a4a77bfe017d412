package io.rhubarbward.move;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Measures how strongly one window of calls says that the new version is worse than the old one.
 *
 * <p>Given how many calls both versions had and how many were bad in all, the bad calls of the new
 * version follow Fisher's noncentral hypergeometric distribution, whatever the ratio of bad calls
 * was in that window. A bad minute of the whole fleet therefore says nothing against the new
 * version. The result is a likelihood ratio whose mean is at most 1 for every version whose odds of
 * a bad call are at most {@link #TOLERATED_ODDS} times the old one's.
 */
final class PairedEvidence {
    /** Odds of a bad call, as a multiple of the old version's, that are no fault. */
    static final double TOLERATED_ODDS = 1.5;

    private static final double[] SUSPECTED_ODDS = {3, 8, 30};

    private PairedEvidence() {}

    /** Returns the number of alternatives that {@link #logRatios} weighs. */
    static int alternatives() {
        return SUSPECTED_ODDS.length;
    }

    /** Returns the logarithm of the likelihood ratio for each suspected multiple of the odds. */
    static double[] logRatios(int newCalls, int newBad, int oldCalls, int oldBad) {
        int bad = newBad + oldBad;
        if (bad == 0 || newCalls == 0 || oldCalls == 0) {
            return new double[SUSPECTED_ODDS.length];
        }
        Window window = new Window(newCalls, oldCalls, bad);
        double tolerated = window.logLikelihood(newBad, TOLERATED_ODDS);
        return Arrays.stream(SUSPECTED_ODDS)
                .map(odds -> window.logLikelihood(newBad, odds) - tolerated)
                .toArray();
    }

    /** Returns the logarithm of the mean of the ratios whose logarithms are given. */
    static double logMean(double[] logRatios) {
        return logSum(logRatios) - Math.log(logRatios.length);
    }

    private static double logSum(double[] logs) {
        double max = Arrays.stream(logs).max().orElse(Double.NEGATIVE_INFINITY);
        return max + Math.log(Arrays.stream(logs).map(log -> Math.exp(log - max)).sum());
    }

    /**
     * What the test takes as given.
     *
     * @param newCalls calls of the new version
     * @param oldCalls calls of the old version
     * @param bad bad calls of both
     */
    private record Window(int newCalls, int oldCalls, int bad) {
        double logLikelihood(int newBad, double odds) {
            int first = Math.max(0, bad - oldCalls);
            int last = Math.min(newCalls, bad);
            double[] weights =
                    IntStream.rangeClosed(first, last)
                            .mapToDouble(count -> logWeight(count, odds))
                            .toArray();
            return logWeight(newBad, odds) - logSum(weights);
        }

        private double logWeight(int count, double odds) {
            return LogFactorial.choose(newCalls, count)
                    + LogFactorial.choose(oldCalls, bad - count)
                    + count * Math.log(odds);
        }
    }
}
