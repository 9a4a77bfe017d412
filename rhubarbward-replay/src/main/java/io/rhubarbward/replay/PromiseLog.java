package io.rhubarbward.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts checks and breaches of each promise and keeps each one's first breach with what led to it.
 */
final class PromiseLog {
    private static final int KEPT_EVENTS = 40;

    private final LongSupplier mNowMillis;
    private final Map<Promise, Long> mChecks = new EnumMap<>(Promise.class);
    private final Map<Promise, Long> mBreaches = new EnumMap<>(Promise.class);
    private final Deque<String> mRecent = new ArrayDeque<>();
    private final Map<Promise, Breach> mFirsts = new EnumMap<>(Promise.class);

    PromiseLog(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Remembers what happened, to show it with the first breach. */
    void note(String event) {
        mRecent.addLast(mNowMillis.getAsLong() + " " + event);
        if (mRecent.size() > KEPT_EVENTS) {
            mRecent.removeFirst();
        }
    }

    void check(Promise promise, boolean holds, java.util.function.Supplier<String> detail) {
        mChecks.merge(promise, 1L, Long::sum);
        if (!holds) {
            mBreaches.merge(promise, 1L, Long::sum);
            mFirsts.computeIfAbsent(
                    promise,
                    broken ->
                            new Breach(
                                    broken,
                                    mNowMillis.getAsLong(),
                                    detail.get(),
                                    List.copyOf(mRecent)));
        }
    }

    long checks(Promise promise) {
        return mChecks.getOrDefault(promise, 0L);
    }

    long breaches(Promise promise) {
        return mBreaches.getOrDefault(promise, 0L);
    }

    /** Returns the first breach of each broken promise. */
    List<Breach> firsts() {
        return List.copyOf(mFirsts.values());
    }

    /**
     * A promise that did not hold.
     *
     * @param promise which
     * @param atMillis when
     * @param detail what was seen and what was expected
     * @param lastEvents what led to it
     */
    public record Breach(Promise promise, long atMillis, String detail, List<String> lastEvents) {}
}
