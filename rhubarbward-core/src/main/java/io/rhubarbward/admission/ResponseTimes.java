package io.rhubarbward.admission;

/** Moving averages of how long the responses of a route take, as this router sees them. */
final class ResponseTimes {
    /** Weight of a new response: about the last ten count. */
    private static final double WEIGHT = 0.1;

    private double mBeginMillis = Double.NaN;
    private double mWholeMillis = Double.NaN;

    void recordBegin(long millis) {
        mBeginMillis = average(mBeginMillis, millis);
    }

    void recordWhole(long millis) {
        mWholeMillis = average(mWholeMillis, millis);
    }

    private static double average(double before, long millis) {
        return Double.isNaN(before) ? millis : before + WEIGHT * (millis - before);
    }

    /** Returns the usual time until a response begins; 0 before the first one. */
    double beginMillis() {
        return Double.isNaN(mBeginMillis) ? 0 : mBeginMillis;
    }

    /** Returns the usual time of a whole response; 0 before the first one. */
    double wholeMillis() {
        return Double.isNaN(mWholeMillis) ? 0 : mWholeMillis;
    }
}
