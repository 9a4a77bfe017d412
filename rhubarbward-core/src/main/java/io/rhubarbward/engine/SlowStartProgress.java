package io.rhubarbward.engine;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * An engine's progress on its slow-start ramp since it was last cold.
 *
 * <p>The engine's served count covers the requests of all routers, so each router sees the whole
 * ramp although it sent only a small part of the requests. The completions that this router counts
 * itself bridge the time between two reports.
 *
 * @param incarnation hash of the engine's incarnation; null before the first report
 * @param previousIncarnation hash of the incarnation before, whose late reports are ignored
 * @param served requests completed since the engine started
 * @param rampStart the served count at which the ramp began
 * @param locallyCompleted requests of this router that the engine completed on this ramp
 * @param cachedTokens prompt tokens in the engine's prefix cache
 */
record SlowStartProgress(
        @Nullable Integer incarnation,
        @Nullable Integer previousIncarnation,
        long served,
        long rampStart,
        long locallyCompleted,
        long cachedTokens) {
    static final SlowStartProgress NONE = new SlowStartProgress(null, null, 0, 0, 0, 0);

    /** A cache that shrinks below a quarter between two reports counts as lost. */
    private static final int CACHE_LOSS_DIVISOR = 4;

    /** A smaller cache may be replaced entirely between two reports of a warm engine. */
    private static final long MIN_COMPARABLE_CACHED_TOKENS = 2_000;

    /** Returns the requests completed on the ramp. */
    long completedOnRamp() {
        return Math.max(served - rampStart, locallyCompleted);
    }

    SlowStartProgress withLocalCompletion() {
        return new SlowStartProgress(
                incarnation,
                previousIncarnation,
                served,
                rampStart,
                locallyCompleted + 1,
                cachedTokens);
    }

    /** Returns progress whose ramp starts over at the current served count. */
    SlowStartProgress withRampRestarted() {
        return new SlowStartProgress(
                incarnation, previousIncarnation, served, served, 0, cachedTokens);
    }

    /** Returns whether the observation has a later ramp start of the same incarnation. */
    boolean isRampStartLaterIn(EngineObservation observation) {
        return incarnation != null
                && incarnation == observation.incarnation()
                && observation.rampStart() > rampStart;
    }

    SlowStartProgress withRampStart(long newRampStart) {
        return new SlowStartProgress(
                incarnation, previousIncarnation, served, newRampStart, 0, cachedTokens);
    }

    /** Returns whether the observation is a late one of the incarnation before this one. */
    boolean isOfPreviousIncarnation(EngineObservation observation) {
        return previousIncarnation != null && previousIncarnation == observation.incarnation();
    }

    /** Returns why the observation shows the engine to be cold again, if it does. */
    Optional<ColdReason> coldReason(EngineObservation next) {
        if (incarnation == null) {
            return Optional.empty();
        }
        if (incarnation != next.incarnation()) {
            return Optional.of(ColdReason.NEW_INCARNATION);
        }
        if (next.served() < served) {
            return Optional.of(ColdReason.SERVED_FELL);
        }
        if (cacheEmptied(next)) {
            return Optional.of(ColdReason.CACHE_EMPTIED);
        }
        return isRampStartLaterIn(next) ? Optional.of(ColdReason.TOLD_BY_PEER) : Optional.empty();
    }

    private boolean cacheEmptied(EngineObservation next) {
        return next.cachedTokens() != EngineObservation.UNKNOWN_TOKEN_COUNT
                && cachedTokens >= MIN_COMPARABLE_CACHED_TOKENS
                && next.cachedTokens() < cachedTokens / CACHE_LOSS_DIVISOR;
    }

    /** Returns the progress updated with the observation. */
    SlowStartProgress after(EngineObservation next) {
        boolean sameIncarnation = incarnation != null && incarnation == next.incarnation();
        Optional<ColdReason> reason = coldReason(next);
        return new SlowStartProgress(
                next.incarnation(),
                sameIncarnation ? previousIncarnation : incarnation,
                next.served(),
                rampStart(next, sameIncarnation, reason),
                reason.isPresent() ? 0 : locallyCompleted,
                next.cachedTokens() == EngineObservation.UNKNOWN_TOKEN_COUNT
                        ? cachedTokens
                        : next.cachedTokens());
    }

    private long rampStart(
            EngineObservation next, boolean sameIncarnation, Optional<ColdReason> reason) {
        if (reason.filter(ColdReason.CACHE_EMPTIED::equals).isPresent()) {
            return next.served();
        }
        boolean restarted =
                !sameIncarnation || reason.filter(ColdReason.SERVED_FELL::equals).isPresent();
        return restarted ? next.rampStart() : Math.max(rampStart, next.rampStart());
    }
}
