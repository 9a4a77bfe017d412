package io.rhubarbward.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The times to an engine's first tokens as this router saw them: the newest few against the past.
 *
 * <p>Ranks are compared, not means: one slow answer, or a tail as heavy as it likes to be, moves
 * nothing.
 */
final class FirstTokenTimes {
    private static final int RECENT = 16;
    private static final int PAST = 64;

    /** How many of the newest must lie above the past's upper quartile. */
    private static final int RECENT_ABOVE = 14;

    private static final double UPPER_QUARTILE = 0.75;
    private static final double MEDIAN = 0.5;

    private final Deque<Long> mTimes = new ArrayDeque<>();

    void add(long millis) {
        mTimes.addLast(millis);
        if (mTimes.size() > RECENT + PAST) {
            mTimes.removeFirst();
        }
    }

    void clear() {
        mTimes.clear();
    }

    /** Returns the newest median over the past one, if enough is known and most are above. */
    Optional<Double> rise() {
        return slowdown().filter(ratio -> recentAboveQuartile() >= RECENT_ABOVE);
    }

    /** Returns the newest median over the past one, if enough is known. */
    Optional<Double> slowdown() {
        if (mTimes.size() < RECENT + PAST) {
            return Optional.empty();
        }
        double past = Math.max(1, quantile(past(), MEDIAN));
        return Optional.of(quantile(recent(), MEDIAN) / past);
    }

    private long recentAboveQuartile() {
        long quartile = quantile(past(), UPPER_QUARTILE);
        return recent().stream().filter(time -> time > quartile).count();
    }

    private List<Long> past() {
        return mTimes.stream().limit(PAST).toList();
    }

    private List<Long> recent() {
        Iterator<Long> newest = mTimes.descendingIterator();
        return java.util.stream.Stream.generate(newest::next).limit(RECENT).toList();
    }

    private static long quantile(List<Long> times, double share) {
        List<Long> sorted = times.stream().sorted().toList();
        return sorted.get((int) (share * (sorted.size() - 1)));
    }
}
