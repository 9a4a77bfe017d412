package io.rhubarbward.move;

import java.util.ArrayDeque;
import java.util.Deque;

/** Both versions' figures over a sliding window of ten one-second slots. */
final class SlidingWindowCounts {
    private static final long SLOT_MILLIS = 1_000;
    private static final int WINDOW_SLOTS = 10;

    private final Deque<Slot> mSlots = new ArrayDeque<>();

    /** Adds the counts and returns the sum over the window. */
    PairedFigures add(PairedFigures counts, long nowMillis) {
        long second = nowMillis / SLOT_MILLIS;
        Slot last = mSlots.peekLast();
        if (last != null && last.second() == second) {
            mSlots.removeLast();
            mSlots.addLast(new Slot(second, last.counts().plus(counts)));
        } else {
            mSlots.addLast(new Slot(second, counts));
        }
        mSlots.removeIf(slot -> slot.second() <= second - WINDOW_SLOTS);
        return mSlots.stream().map(Slot::counts).reduce(PairedFigures.ZERO, PairedFigures::plus);
    }

    /** The counts of one second. */
    private record Slot(long second, PairedFigures counts) {}
}
