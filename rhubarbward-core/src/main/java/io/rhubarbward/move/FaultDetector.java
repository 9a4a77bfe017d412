package io.rhubarbward.move;

import java.util.Arrays;

/**
 * Sequential test that accumulates the evidence of many windows and detects a faulty new version.
 *
 * <p>For each suspected odds ratio it keeps the product of the windows' likelihood ratios, reset to
 * 1 whenever it falls below (CUSUM), so that good windows at the start do not hide a fault that
 * appears later. For a good version each window's ratio has a mean of at most 1, so that the
 * probability of a false alarm is at most the number of windows divided by the threshold.
 */
final class FaultDetector {
    /** Bounds false alarms to one in 100 rollouts with 1,500 windows: 1,500 / 150,000 = 0.01. */
    static final double LOG_THRESHOLD = Math.log(150_000);

    private final double[] mCusums = new double[PairedEvidence.alternativeCount()];
    private int mNewCallsSinceReset;
    private int mNewBadSinceReset;

    /** Adds a window; returns whether the new version is faulty. */
    boolean addWindow(int newCalls, int newBad, int oldCalls, int oldBad, double acceptedRatio) {
        double[] ratios = PairedEvidence.logRatios(newCalls, newBad, oldCalls, oldBad);
        for (int i = 0; i < mCusums.length; i++) {
            mCusums[i] = Math.max(0, mCusums[i] + ratios[i]);
        }
        countCalls(newCalls, newBad);
        return PairedEvidence.logMean(mCusums) >= LOG_THRESHOLD
                && mNewBadSinceReset > acceptedRatio * mNewCallsSinceReset;
    }

    /** Returns the logarithm of the accumulated evidence that the new version is faulty. */
    double logEvidence() {
        return PairedEvidence.logMean(mCusums);
    }

    /** Counts the calls since the last reset of all sums, for the rule's accepted ratio. */
    private void countCalls(int newCalls, int newBad) {
        boolean noEvidence = Arrays.stream(mCusums).allMatch(log -> log == 0);
        mNewCallsSinceReset = noEvidence ? 0 : mNewCallsSinceReset + newCalls;
        mNewBadSinceReset = noEvidence ? 0 : mNewBadSinceReset + newBad;
    }
}
