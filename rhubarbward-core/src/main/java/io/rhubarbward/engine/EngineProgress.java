package io.rhubarbward.engine;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * How far an engine has come since it was last cold.
 *
 * <p>The engine counts what it completes for the whole fleet, so each router sees the whole ramp,
 * though it sent only a sliver of the work. Its own completions count between two reports.
 *
 * @param incarnation the engine's incarnation; null before the first report
 * @param previousIncarnation the one before, whose late reports are ignored
 * @param served requests completed since the engine started
 * @param rampStart the count of served requests at which the ramp began
 * @param ownCompleted requests of this router that it completed on this ramp
 * @param cachedTokens prompt tokens in its cache
 */
record EngineProgress(
        @Nullable Integer incarnation,
        @Nullable Integer previousIncarnation,
        long served,
        long rampStart,
        long ownCompleted,
        long cachedTokens) {
    static final EngineProgress NONE = new EngineProgress(null, null, 0, 0, 0, 0);

    /** Less than this part of its cache left means that the engine lost it. */
    private static final int CACHE_LOSS_DIVISOR = 4;

    /** A cache smaller than this may turn over between two reports. */
    private static final long MIN_CACHED_TOKENS = 2_000;

    /** Returns the requests completed on the ramp. */
    long completed() {
        return Math.max(served - rampStart, ownCompleted);
    }

    EngineProgress withOwnCompletion() {
        return new EngineProgress(
                incarnation,
                previousIncarnation,
                served,
                rampStart,
                ownCompleted + 1,
                cachedTokens);
    }

    /** Returns progress that begins anew at what the engine has served so far. */
    EngineProgress cooled() {
        return new EngineProgress(
                incarnation, previousIncarnation, served, served, 0, cachedTokens);
    }

    /** Returns whether the observer knows of a later cold start of the same incarnation. */
    boolean rampBeganLater(EngineObservation observation) {
        return incarnation != null
                && incarnation == observation.incarnation()
                && observation.rampStart() > rampStart;
    }

    EngineProgress withRampStart(long start) {
        return new EngineProgress(incarnation, previousIncarnation, served, start, 0, cachedTokens);
    }

    /** Returns whether the observation is of a process that this engine has replaced. */
    boolean outdated(EngineObservation observation) {
        return previousIncarnation != null && previousIncarnation == observation.incarnation();
    }

    /** Returns by what the observation shows that the engine is cold again, if it is. */
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
        return rampBeganLater(next) ? Optional.of(ColdReason.TOLD_BY_PEER) : Optional.empty();
    }

    private boolean cacheEmptied(EngineObservation next) {
        return next.cachedTokens() != EngineObservation.UNKNOWN
                && cachedTokens >= MIN_CACHED_TOKENS
                && next.cachedTokens() < cachedTokens / CACHE_LOSS_DIVISOR;
    }

    /** Returns the progress after the observation. */
    EngineProgress after(EngineObservation next) {
        boolean same = incarnation != null && incarnation == next.incarnation();
        Optional<ColdReason> reason = coldReason(next);
        return new EngineProgress(
                next.incarnation(),
                same ? previousIncarnation : incarnation,
                next.served(),
                rampStart(next, same, reason),
                reason.isPresent() ? 0 : ownCompleted,
                next.cachedTokens() == EngineObservation.UNKNOWN
                        ? cachedTokens
                        : next.cachedTokens());
    }

    private long rampStart(EngineObservation next, boolean same, Optional<ColdReason> reason) {
        if (reason.filter(ColdReason.CACHE_EMPTIED::equals).isPresent()) {
            return next.served();
        }
        boolean restarted = !same || reason.filter(ColdReason.SERVED_FELL::equals).isPresent();
        return restarted ? next.rampStart() : Math.max(rampStart, next.rampStart());
    }
}
