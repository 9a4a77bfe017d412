package io.rhubarbward.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Times to first token of one engine's answers to this router, to detect a sudden slowdown.
 *
 * <p>The newest answers are compared with the past ones by rank rather than by mean, so that single
 * slow answers or a heavy tail do not look like a slowdown.
 */
final class FirstTokenLatencies {
    private static final int RECENT_SAMPLES = 16;
    private static final int PAST_SAMPLES = 64;

    /** How many of the recent samples must be above the upper quartile of the past ones. */
    private static final int MIN_RECENT_ABOVE_QUARTILE = 14;

    /** Samples needed on either side of a point in time to compare an engine as a peer. */
    private static final int MIN_PEER_SAMPLES = 4;

    private static final double UPPER_QUARTILE = 0.75;
    private static final double MEDIAN = 0.5;

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    void add(long latencyMillis, long nowMillis) {
        mSamples.addLast(new Sample(latencyMillis, nowMillis));
        if (mSamples.size() > RECENT_SAMPLES + PAST_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    void clear() {
        mSamples.clear();
    }

    /** Returns when the oldest recent sample was taken; empty while there are too few. */
    Optional<Long> oldestRecentMillis() {
        return mSamples.size() < RECENT_SAMPLES
                ? Optional.empty()
                : Optional.of(recentNewestFirst().get(RECENT_SAMPLES - 1).takenAtMillis());
    }

    /**
     * Returns the ratio of the recent median to the past one; empty while there are too few samples
     * or too few recent ones above the upper quartile of the past.
     */
    Optional<Double> significantSlowdown() {
        if (mSamples.size() < RECENT_SAMPLES + PAST_SAMPLES
                || recentAboveQuartile() < MIN_RECENT_ABOVE_QUARTILE) {
            return Optional.empty();
        }
        return Optional.of(medianRatio(recentLatencies(), pastLatencies()));
    }

    /**
     * Returns the ratio of the median since the given time to the median before; empty if there are
     * too few samples on either side.
     */
    Optional<Double> slowdownSince(long sinceMillis) {
        Map<Boolean, List<Long>> bySince =
                mSamples.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        sample -> sample.takenAtMillis() >= sinceMillis,
                                        Collectors.mapping(
                                                Sample::latencyMillis, Collectors.toList())));
        List<Long> after = Objects.requireNonNull(bySince.get(true));
        List<Long> before = Objects.requireNonNull(bySince.get(false));
        return after.size() < MIN_PEER_SAMPLES || before.size() < MIN_PEER_SAMPLES
                ? Optional.empty()
                : Optional.of(medianRatio(after, before));
    }

    private static double medianRatio(List<Long> recent, List<Long> past) {
        return quantile(recent, MEDIAN) / (double) Math.max(1, quantile(past, MEDIAN));
    }

    private long recentAboveQuartile() {
        long quartile = quantile(pastLatencies(), UPPER_QUARTILE);
        return recentLatencies().stream().filter(latency -> latency > quartile).count();
    }

    private List<Long> pastLatencies() {
        return mSamples.stream().limit(PAST_SAMPLES).map(Sample::latencyMillis).toList();
    }

    private List<Long> recentLatencies() {
        return recentNewestFirst().stream().map(Sample::latencyMillis).toList();
    }

    private List<Sample> recentNewestFirst() {
        Iterator<Sample> newest = mSamples.descendingIterator();
        return Stream.generate(newest::next).limit(RECENT_SAMPLES).toList();
    }

    private static long quantile(List<Long> latencies, double fraction) {
        List<Long> sorted = latencies.stream().sorted().toList();
        return sorted.get((int) (fraction * (sorted.size() - 1)));
    }

    /**
     * One measured time to first token.
     *
     * @param latencyMillis the time from sending the request to the head of the answer
     * @param takenAtMillis when the sample was added
     */
    private record Sample(long latencyMillis, long takenAtMillis) {}
}
