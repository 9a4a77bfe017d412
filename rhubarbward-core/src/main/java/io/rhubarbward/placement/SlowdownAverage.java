package io.rhubarbward.placement;

/**
 * Exponentially weighted moving average over time of the slowdown that a server states.
 *
 * <p>Figures come with answers, at irregular times. Without figures the average approaches the
 * usual slowdown, since what a figure says of the present falls with its age.
 */
final class SlowdownAverage {
    /** Age from which a figure says nothing. */
    private static final long MAX_AGE_MILLIS = 2000;

    /** Bounds of a believed figure, so that an odd one does not keep requests away for long. */
    private static final double MIN_FIGURE = 0.25;

    private static final double MAX_FIGURE = 8;

    private final double mTimeConstantMillis;
    private final long mMaxFigureMillis;
    private double mAverage = ServerLoad.USUAL_SLOWDOWN;
    private long mUpdatedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an average without figures.
     *
     * @param maxFigureMillis the longest time before a figure that the figure stands for, however
     *     long ago the one before it came
     */
    SlowdownAverage(double timeConstantMillis, long maxFigureMillis) {
        mTimeConstantMillis = timeConstantMillis;
        mMaxFigureMillis = maxFigureMillis;
    }

    void add(double slowdown, long nowMillis) {
        long ageMillis = nowMillis - mUpdatedMillis;
        double before = ageMillis < MAX_AGE_MILLIS ? mAverage : ServerLoad.USUAL_SLOWDOWN;
        double figure = Math.min(MAX_FIGURE, Math.max(MIN_FIGURE, slowdown));
        double weight = 1 - Math.exp(-Math.min(mMaxFigureMillis, ageMillis) / mTimeConstantMillis);
        mAverage = before + weight * (figure - before);
        mUpdatedMillis = nowMillis;
    }

    /** Returns the average, weighted down by the age of the newest figure. */
    double value(long nowMillis) {
        long ageMillis = nowMillis - mUpdatedMillis;
        if (ageMillis >= MAX_AGE_MILLIS) {
            return ServerLoad.USUAL_SLOWDOWN;
        }
        double weight = 1 - (double) ageMillis / MAX_AGE_MILLIS;
        return ServerLoad.USUAL_SLOWDOWN + weight * (mAverage - ServerLoad.USUAL_SLOWDOWN);
    }
}
