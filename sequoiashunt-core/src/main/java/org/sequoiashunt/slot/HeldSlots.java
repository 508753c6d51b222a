package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Slots of calls that nobody waits for while their target may still run them: calls that were given up, each until the
 * deadline that the target was told, and calls that an earlier process or gate may have left at the target.
 *
 * <p>A slot is freed earlier if the target states that it runs fewer calls than are held. The statement counts only in
 * the answer to a call that was sent after the slot was held: an earlier answer may have been written before the run
 * began.
 *
 * <p>Not thread-safe: the owner guards it by a lock. Invariant: slots are freed only by their time or by the target's
 * word.
 */
final class HeldSlots {

    /**
     * Time after the opening of a gate for which calls of an earlier process count if the target states no load, in
     * milliseconds. Another 750 ms or more pass between the end of that process and the opening.
     */
    static final long EARLIER_RUNS_MS = 1_500;

    /** The same time if the target states its load: calls that take 7 times a mean of 552 ms have ended by then. */
    static final long STATED_EARLIER_RUNS_MS = 4_000;

    private final PriorityQueue<Held> held = new PriorityQueue<>(Comparator.comparingLong(Held::endMs));

    /** Holds the slot of a call that was given up, from one time of the local clock to another, in milliseconds. */
    void hold(final long fromMs, final long endMs) {
        held.add(new Held(fromMs, endMs, endMs));
    }

    /** Holds a slot for a call that an earlier process may have left, from the opening of the gate on. */
    void holdForEarlierRun(final long openedMs) {
        held.add(new Held(openedMs - 1, openedMs + EARLIER_RUNS_MS, openedMs + STATED_EARLIER_RUNS_MS));
    }

    int count() {
        return held.size();
    }

    /** Removes the slots whose time has passed and returns their number. */
    int removeEnded(final long nowMs) {
        int ended = 0;
        while (!held.isEmpty() && held.peek().endMs() <= nowMs) {
            held.remove();
            ended++;
        }
        return ended;
    }

    /**
     * Removes the slots that are free by the target's word and returns their number. Which of the runs have ended is
     * not known: the slots that are held longest stay.
     *
     * @param statedRuns the number of calls that the target states to run or queue, those of this gate with them.
     * @param sentMs when the call was sent whose answer states it, in milliseconds of the local clock.
     */
    int removeBeyond(final int statedRuns, final long sentMs) {
        List<Held> earlier = new ArrayList<>();
        held.removeIf(each -> each.fromMs() < sentMs && earlier.add(each));
        earlier.sort(Comparator.comparingLong(Held::statedEndMs).reversed());
        int kept = Math.min(earlier.size(), statedRuns);
        earlier.subList(0, kept).forEach(each -> hold(each.fromMs(), each.statedEndMs()));
        return earlier.size() - kept;
    }

    /** Returns how long no slot becomes free, in milliseconds: zero unless all of the target's slots are held. */
    long waitMs(final int slots, final long nowMs) {
        return held.size() < slots ? 0 : held.peek().endMs() - nowMs;
    }

    /**
     * Times between which a slot is held. Immutable and thread-safe.
     *
     * @param fromMs when the run was left to itself, or before.
     * @param endMs when the slot is free if the target states no load.
     * @param statedEndMs when the slot is free if the target states its load and does not state that it is free.
     */
    private record Held(long fromMs, long endMs, long statedEndMs) {}
}
