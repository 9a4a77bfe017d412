package io.rhubarbward.placement;

import java.util.OptionalDouble;

/**
 * Whether the servers of a service fall over when they must decline many requests, as they say in
 * all their answers.
 *
 * <p>What one server says holds for all of the service: one that has just started has not answered
 * yet. It holds until answers no longer say so, however long no request is sent.
 */
final class BrittleService {
    /** Time since the last statement in which answers without one may have been given before it. */
    private static final long LATE_ANSWER_MILLIS = 3000;

    private OptionalDouble mDeclinesPerSecond = OptionalDouble.empty();
    private long mStatedMillis;

    /**
     * Records what an answer says.
     *
     * @param declinesPerSecond requests a second that each server can decline; empty if the answer
     *     does not say that servers are brittle, NaN changes nothing
     */
    void recordAnswer(OptionalDouble declinesPerSecond, long nowMillis) {
        if (declinesPerSecond.isEmpty()) {
            if (nowMillis - mStatedMillis >= LATE_ANSWER_MILLIS) {
                mDeclinesPerSecond = OptionalDouble.empty();
            }
        } else if (!Double.isNaN(declinesPerSecond.getAsDouble())) {
            mDeclinesPerSecond = declinesPerSecond;
            mStatedMillis = nowMillis;
        }
    }

    /** Returns what was stated last; empty if the servers are not brittle. */
    OptionalDouble declinesPerSecond() {
        return mDeclinesPerSecond;
    }
}
