package io.rhubarbward.move;

import java.util.ArrayDeque;
import java.util.Deque;

/** Both versions' figures over the last seconds. */
final class RecentCounts {
    private static final long SLOT_MILLIS = 1_000;
    private static final int SLOTS = 10;

    private final Deque<Slot> mSlots = new ArrayDeque<>();

    /** Adds the counts and returns the sum of the last ten seconds. */
    PairedFigures add(PairedFigures counts, long nowMillis) {
        long number = nowMillis / SLOT_MILLIS;
        Slot last = mSlots.peekLast();
        if (last != null && last.number() == number) {
            mSlots.removeLast();
            mSlots.addLast(new Slot(number, last.counts().plus(counts)));
        } else {
            mSlots.addLast(new Slot(number, counts));
        }
        mSlots.removeIf(slot -> slot.number() <= number - SLOTS);
        return mSlots.stream().map(Slot::counts).reduce(PairedFigures.ZERO, PairedFigures::plus);
    }

    /** The counts of one second. */
    private record Slot(long number, PairedFigures counts) {}
}
