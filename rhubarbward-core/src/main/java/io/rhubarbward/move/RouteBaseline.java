package io.rhubarbward.move;

/** The usual times of one route's answers, as geometric means that follow slow changes. */
final class RouteBaseline {
    /** Multiple of the usual time from which an answer counts as slow. */
    private static final double SLOW_FACTOR = 2;

    /** Weight of each new answer. */
    private static final double WEIGHT = 0.05;

    /** Answers from which the usual times count as known. */
    private static final int MIN_ANSWERS = 5;

    private final Mean mFirstByte = new Mean();
    private final Mean mPerByte = new Mean();

    void add(long firstByteMillis, double millisPerByte) {
        mFirstByte.add(Math.max(1, firstByteMillis));
        if (!Double.isNaN(millisPerByte)) {
            mPerByte.add(millisPerByte);
        }
    }

    boolean known() {
        return mFirstByte.mCount >= MIN_ANSWERS;
    }

    boolean slowFirstByte(long firstByteMillis) {
        return mFirstByte.exceededBy(firstByteMillis);
    }

    boolean slowPace(double millisPerByte) {
        return !Double.isNaN(millisPerByte) && mPerByte.exceededBy(millisPerByte);
    }

    private static final class Mean {
        private static final double MIN_VALUE = 1e-6;

        private int mCount;
        private double mLog;

        void add(double value) {
            double log = Math.log(Math.max(MIN_VALUE, value));
            mCount++;
            mLog += (log - mLog) * Math.max(WEIGHT, 1.0 / mCount);
        }

        boolean exceededBy(double value) {
            return mCount >= MIN_ANSWERS && value > SLOW_FACTOR * Math.exp(mLog);
        }
    }
}
