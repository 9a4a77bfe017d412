package io.rhubarbward.placement;

import java.util.OptionalDouble;

/**
 * What one or more routers know of a server that states a limit on its requests.
 *
 * @param perSecond the limit in the newest answer; empty if that states none any more
 * @param ageMillis the age of that answer; {@link #NEVER_HEARD} if these routers got none
 * @param sends the requests that these routers sent there in the last seconds
 */
public record LimitObservation(OptionalDouble perSecond, long ageMillis, int sends) {
    /** Stands for the age of an answer if there was none. */
    public static final long NEVER_HEARD = Long.MAX_VALUE / 4;

    /** Returns what both sets of routers, which have none in common, know together. */
    public LimitObservation combinedWith(LimitObservation other) {
        LimitObservation newest = ageMillis <= other.ageMillis ? this : other;
        return new LimitObservation(newest.perSecond, newest.ageMillis, sends + other.sends);
    }

    /** Returns the same after it has been under way or kept for a while. */
    public LimitObservation olderBy(long millis) {
        return new LimitObservation(perSecond, ageMillis + millis, sends);
    }

    /** Returns the same without the requests that a part of these routers sent. */
    public LimitObservation withoutSends(int excluded) {
        return new LimitObservation(perSecond, ageMillis, Math.max(0, sends - excluded));
    }
}
