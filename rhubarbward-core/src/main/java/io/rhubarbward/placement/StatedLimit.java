package io.rhubarbward.placement;

import java.util.OptionalDouble;

/**
 * How many requests a second a server takes from all routers together, as it states in its answers.
 *
 * <p>The newest answer counts, whichever router got it. A server states its limit in each answer as
 * long as it holds. One answer without it may have been on its way longer than others, so that the
 * limit is only lifted after a while.
 */
final class StatedLimit {
    /** Time since the limit was last stated from which an answer without it lifts it. */
    private static final long LIFTED_AFTER_MILLIS = 1000;

    /** Time for which routers are told about a server after its limit was lifted. */
    private static final long REPORTED_AFTER_LIFTED_MILLIS = 10_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** The newest answer that this router got. */
    private Statement mHeard = Statement.NONE;

    /** The newest answer of which other routers told. */
    private Statement mTold = Statement.NONE;

    /** When the server was last seen to have a limit. */
    private long mLimitedMillis = NEVER_MILLIS;

    private record Statement(OptionalDouble perSecond, long atMillis) {
        static final Statement NONE = new Statement(OptionalDouble.empty(), NEVER_MILLIS);
    }

    /**
     * Takes the limit of an answer.
     *
     * @param stated empty if the answer states none, NaN if it makes no sense, which changes
     *     nothing
     */
    void hear(OptionalDouble stated, long nowMillis) {
        if (stated.isPresent() && Double.isNaN(stated.getAsDouble())) {
            return;
        }
        Statement newest = newest();
        boolean heldBack =
                stated.isEmpty()
                        && newest.perSecond().isPresent()
                        && nowMillis - newest.atMillis() < LIFTED_AFTER_MILLIS;
        if (!heldBack) {
            mHeard = new Statement(stated, nowMillis);
        }
    }

    /** Takes what other routers know. */
    void tell(LimitObservation others, long nowMillis) {
        long atMillis = nowMillis - others.ageMillis();
        if (others.ageMillis() < LimitObservation.NEVER_HEARD && atMillis > mTold.atMillis()) {
            mTold = new Statement(others.perSecond(), atMillis);
        }
    }

    private Statement newest() {
        return mHeard.atMillis() >= mTold.atMillis() ? mHeard : mTold;
    }

    /** Returns the limit; empty if there is none. */
    OptionalDouble perSecond() {
        return newest().perSecond();
    }

    /** Returns whether other routers must be told: the server has a limit, or had until lately. */
    boolean reported(long nowMillis) {
        if (perSecond().isPresent()) {
            mLimitedMillis = nowMillis;
        }
        return nowMillis - mLimitedMillis < REPORTED_AFTER_LIFTED_MILLIS;
    }

    /** Returns what this router itself knows. */
    LimitObservation observation(int sends, long nowMillis) {
        long ageMillis =
                mHeard.atMillis() == NEVER_MILLIS
                        ? LimitObservation.NEVER_HEARD
                        : nowMillis - mHeard.atMillis();
        return new LimitObservation(mHeard.perSecond(), ageMillis, sends);
    }
}
