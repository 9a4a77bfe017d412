package io.rhubarbward.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events in a sliding time window. */
final class SlidingWindowCounter {
    private final long mWindowMillis;
    private final Deque<Long> mEventMillis = new ArrayDeque<>();

    SlidingWindowCounter(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    void add(long nowMillis) {
        mEventMillis.addLast(nowMillis);
        removeExpired(nowMillis);
    }

    /** Returns the number of events in the window that ends now. */
    int count(long nowMillis) {
        removeExpired(nowMillis);
        return mEventMillis.size();
    }

    /** Returns how many events are kept in memory. */
    int kept() {
        return mEventMillis.size();
    }

    private void removeExpired(long nowMillis) {
        while (!mEventMillis.isEmpty() && mEventMillis.peekFirst() <= nowMillis - mWindowMillis) {
            mEventMillis.removeFirst();
        }
    }
}
