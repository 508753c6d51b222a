package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Decides which call gets a slot of one target next, which waits, and which is refused.
 *
 * <p>Answers load at or above what the slots can serve, steady or in bursts. A call is admitted only if it is expected
 * to end within its objective, so that the wait stays short and what is refused is refused at once, while the caller
 * can still go elsewhere. Calls of a more urgent rank overtake others; within a rank the one that must start first
 * goes first. A call that has missed its latest useful start gives its place to one that has not.
 *
 * <p>Confined to the lock of its owner. Invariants: never more calls run than there are slots; a refused call never
 * starts.
 */
public final class SlotQueue {

    /** Mean service time before any call has ended, in milliseconds: a typical short request. */
    static final long INITIAL_MEAN_MS = 100;

    /** Weight of the latest call in the moving mean: about the last 20 calls count. */
    private static final double MEAN_WEIGHT = 0.1;

    /** Most calls that wait for each slot; bounds memory whatever the objectives are. */
    private static final int WAITING_PER_SLOT = 8;

    private static final Comparator<WaitingCall> ORDER = Comparator.<WaitingCall>comparingInt(
                    waiting -> waiting.request().urgency().rank())
            .thenComparingLong(WaitingCall::latestStartMs)
            .thenComparing(waiting -> waiting.request().callId());

    private final int slots;
    private final TreeSet<WaitingCall> queue = new TreeSet<>(ORDER);
    private int running;
    private double meanMs = INITIAL_MEAN_MS;

    /**
     * Creates an empty queue.
     *
     * @param slots how many calls run at a time, positive.
     * @throws IllegalArgumentException if the slots are not positive.
     */
    public SlotQueue(final int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        this.slots = slots;
    }

    /**
     * Admits a call or refuses it.
     *
     * @param waiting the call, not null.
     * @param nowMs the time, in milliseconds.
     * @return empty if the call was admitted, otherwise the wait that was expected, in milliseconds.
     */
    public Optional<Long> offer(final WaitingCall waiting, final long nowMs) {
        long waitMs = expectedWaitMs(waiting.request().urgency().rank());
        boolean hasRoom = running < slots && queue.isEmpty();
        if (!hasRoom && (nowMs + waitMs > waiting.latestStartMs() || queue.size() >= slots * WAITING_PER_SLOT)) {
            return Optional.of(waitMs);
        }
        queue.add(waiting);
        return Optional.empty();
    }

    /**
     * Estimates how long a call of a rank waits for a slot.
     *
     * @param rank the rank.
     * @return the wait in milliseconds, zero if a slot is free.
     */
    public long expectedWaitMs(final int rank) {
        long ahead = queue.stream()
                .filter(waiting -> waiting.request().urgency().rank() <= rank)
                .count();
        long excess = running + ahead + 1 - slots;
        return excess <= 0 ? 0 : Math.round(excess * meanMs / slots);
    }

    /**
     * Takes the next call to run, if a slot is free, and the slot with it. A call that has missed its latest useful
     * start runs only if no other one waits.
     *
     * @param nowMs the time, in milliseconds.
     * @return the call, or empty.
     */
    public Optional<WaitingCall> startNext(final long nowMs) {
        if (running >= slots || queue.isEmpty()) {
            return Optional.empty();
        }
        WaitingCall next = queue.first();
        for (WaitingCall candidate : queue) {
            if (candidate.latestStartMs() >= nowMs) {
                next = candidate;
                break;
            }
        }
        queue.remove(next);
        running++;
        return Optional.of(next);
    }

    /**
     * Removes the calls that can no longer be served in time while others wait.
     *
     * @param nowMs the time, in milliseconds.
     * @return the calls, never null; they must be refused.
     */
    public List<WaitingCall> removeLate(final long nowMs) {
        List<WaitingCall> late = new ArrayList<>();
        if (running < slots) {
            return late;
        }
        Iterator<WaitingCall> waiting = queue.iterator();
        while (waiting.hasNext()) {
            WaitingCall candidate = waiting.next();
            if (candidate.latestStartMs() < nowMs) {
                waiting.remove();
                late.add(candidate);
            }
        }
        return late;
    }

    /**
     * Removes one call, whose caller has left.
     *
     * @param waiting the call, not null.
     * @return true if it was still waiting: it will never start.
     */
    public boolean remove(final WaitingCall waiting) {
        return queue.remove(waiting);
    }

    /**
     * Removes all calls that wait.
     *
     * @return the calls, never null; they must be refused.
     */
    public List<WaitingCall> removeAll() {
        List<WaitingCall> all = new ArrayList<>(queue);
        queue.clear();
        return all;
    }

    /**
     * Gives a slot back.
     *
     * @param durationMs how long the call held it, in milliseconds, or a negative number if that tells nothing.
     */
    public void ended(final long durationMs) {
        running--;
        if (durationMs >= 0) {
            meanMs += MEAN_WEIGHT * (durationMs - meanMs);
        }
    }

    /**
     * Counts the calls that run.
     *
     * @return the number.
     */
    public int running() {
        return running;
    }

    /**
     * Counts the calls that wait.
     *
     * @return the number.
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Returns the mean time for which a call holds a slot.
     *
     * @return the mean in milliseconds.
     */
    public long meanMs() {
        return Math.round(meanMs);
    }
}
