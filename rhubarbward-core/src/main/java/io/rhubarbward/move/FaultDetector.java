package io.rhubarbward.move;

import java.util.Arrays;

/**
 * Adds up the evidence of many windows and says when the new version is at fault.
 *
 * <p>For each suspected multiple of the odds it keeps the product of the likelihood ratios, raised
 * to 1 whenever it falls below (CUSUM), so that good minutes at the start do not hide a fault that
 * shows later. Each window's ratio has a mean of at most 1 for a good version, so that the chance
 * of a false alarm is at most the number of windows divided by the threshold.
 */
final class FaultDetector {
    /** A false alarm in at most one of a hundred rollouts that make 1,500 tests. */
    static final double LOG_THRESHOLD = Math.log(150_000);

    private final double[] mLogs = new double[PairedEvidence.alternatives()];
    private int mNewCalls;
    private int mNewBad;

    /** Adds a window; returns whether the new version is at fault. */
    boolean add(int newCalls, int newBad, int oldCalls, int oldBad, double acceptedRatio) {
        double[] ratios = PairedEvidence.logRatios(newCalls, newBad, oldCalls, oldBad);
        for (int i = 0; i < mLogs.length; i++) {
            mLogs[i] = Math.max(0, mLogs[i] + ratios[i]);
        }
        count(newCalls, newBad);
        return PairedEvidence.logMean(mLogs) >= LOG_THRESHOLD
                && mNewBad > acceptedRatio * mNewCalls;
    }

    /** Returns the logarithm of the evidence that the version is at fault. */
    double logEvidence() {
        return PairedEvidence.logMean(mLogs);
    }

    /** Counts the calls since the evidence began to grow, for the ratio that the rule accepts. */
    private void count(int newCalls, int newBad) {
        boolean idle = Arrays.stream(mLogs).allMatch(log -> log == 0);
        mNewCalls = idle ? 0 : mNewCalls + newCalls;
        mNewBad = idle ? 0 : mNewBad + newBad;
    }
}
