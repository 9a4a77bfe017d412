package io.rhubarbward.placement;

import java.util.OptionalDouble;

/**
 * Whether the servers of a service fall over when they must decline many requests, as they say in
 * their answers.
 *
 * <p>What one server says holds for all of the service: one that has just started has not answered
 * yet.
 */
final class BrittleService {
    /** Time since the last statement after which the servers are no longer brittle. */
    private static final long HELD_MILLIS = 3000;

    private double mDeclinesPerSecond;
    private long mStatedMillis = Long.MIN_VALUE / 2;

    /**
     * Records a statement.
     *
     * @param declinesPerSecond requests a second that each server can decline; NaN changes nothing
     */
    void state(double declinesPerSecond, long nowMillis) {
        if (!Double.isNaN(declinesPerSecond)) {
            mDeclinesPerSecond = declinesPerSecond;
            mStatedMillis = nowMillis;
        }
    }

    /** Returns what was stated last; empty if that was long ago. */
    OptionalDouble declinesPerSecond(long nowMillis) {
        return nowMillis - mStatedMillis < HELD_MILLIS
                ? OptionalDouble.of(mDeclinesPerSecond)
                : OptionalDouble.empty();
    }
}
