package io.rhubarbward.placement;

import java.util.OptionalDouble;

/**
 * How many requests a second a server takes from all routers together, as it states in its answers.
 *
 * <p>A server states its limit in each answer as long as it holds. One answer without it may have
 * been on its way longer than others, so that the limit is only lifted after a while.
 */
final class StatedLimit {
    /** Time since the limit was last stated from which an answer without it lifts it. */
    private static final long LIFTED_AFTER_MILLIS = 1000;

    private OptionalDouble mPerSecond = OptionalDouble.empty();
    private long mStatedMillis;

    /**
     * Takes the limit of an answer.
     *
     * @param stated empty if the answer states none, NaN if it makes no sense, which changes
     *     nothing
     */
    void update(OptionalDouble stated, long nowMillis) {
        if (stated.isEmpty()) {
            if (nowMillis - mStatedMillis >= LIFTED_AFTER_MILLIS) {
                mPerSecond = OptionalDouble.empty();
            }
        } else if (!Double.isNaN(stated.getAsDouble())) {
            mPerSecond = stated;
            mStatedMillis = nowMillis;
        }
    }

    /** Returns the limit; empty if there is none. */
    OptionalDouble perSecond() {
        return mPerSecond;
    }
}
