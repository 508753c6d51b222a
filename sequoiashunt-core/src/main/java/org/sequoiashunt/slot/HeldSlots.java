package org.sequoiashunt.slot;

import java.util.PriorityQueue;

/**
 * Slots of calls that were given up while their target may still run them. Each stays in use until the deadline that
 * the target was told, so that the runs at a target never exceed its slots.
 *
 * <p>Not thread-safe: the owner guards it by a lock.
 */
final class HeldSlots {

    private final PriorityQueue<Long> endsMs = new PriorityQueue<>();

    /** Holds a slot until a time of the local clock, in milliseconds. */
    void hold(final long endMs) {
        endsMs.add(endMs);
    }

    int count() {
        return endsMs.size();
    }

    /** Removes the slots whose time has passed and returns their number. */
    int removeEnded(final long nowMs) {
        int ended = 0;
        while (!endsMs.isEmpty() && endsMs.peek() <= nowMs) {
            endsMs.remove();
            ended++;
        }
        return ended;
    }

    /** Returns how long no slot becomes free, in milliseconds: zero unless all of the target's slots are held. */
    long waitMs(final int slots, final long nowMs) {
        return endsMs.size() < slots ? 0 : endsMs.peek() - nowMs;
    }
}
