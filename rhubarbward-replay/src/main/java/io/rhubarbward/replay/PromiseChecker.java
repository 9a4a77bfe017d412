package io.rhubarbward.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts checks and breaches of each promise, and keeps the first breach of each with the events
 * before it.
 */
final class PromiseChecker {
    private static final int MAX_RECENT_EVENTS = 40;

    private final LongSupplier mNowMillis;
    private final Map<Promise, Long> mChecks = new EnumMap<>(Promise.class);
    private final Map<Promise, Long> mBreaches = new EnumMap<>(Promise.class);
    private final Deque<String> mRecentEvents = new ArrayDeque<>();
    private final Map<Promise, Breach> mFirstBreaches = new EnumMap<>(Promise.class);

    PromiseChecker(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Keeps the event, to show it with a breach that follows. */
    void recordEvent(String event) {
        mRecentEvents.addLast(mNowMillis.getAsLong() + " " + event);
        if (mRecentEvents.size() > MAX_RECENT_EVENTS) {
            mRecentEvents.removeFirst();
        }
    }

    /** Counts a check of the promise, and a breach if it does not hold. */
    void check(Promise promise, boolean holds, java.util.function.Supplier<String> detail) {
        mChecks.merge(promise, 1L, Long::sum);
        if (!holds) {
            mBreaches.merge(promise, 1L, Long::sum);
            mFirstBreaches.computeIfAbsent(
                    promise,
                    broken ->
                            new Breach(
                                    broken,
                                    mNowMillis.getAsLong(),
                                    detail.get(),
                                    List.copyOf(mRecentEvents)));
        }
    }

    long checks(Promise promise) {
        return mChecks.getOrDefault(promise, 0L);
    }

    long breaches(Promise promise) {
        return mBreaches.getOrDefault(promise, 0L);
    }

    /** Returns the first breach of each broken promise. */
    List<Breach> firstBreaches() {
        return List.copyOf(mFirstBreaches.values());
    }

    /**
     * A promise that did not hold.
     *
     * @param promise the broken promise
     * @param atMillis the virtual time of the breach, in milliseconds
     * @param detail what the check found
     * @param lastEvents the events before the breach, oldest first
     */
    public record Breach(Promise promise, long atMillis, String detail, List<String> lastEvents) {}
}
