package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Priority queue of the calls to one target that decides which call starts next, which waits and which is refused.
 *
 * <p>It keeps waits short under steady or bursty load at or above the capacity of the slots: a call that would have to
 * wait is admitted only if it is expected to end within its objective, so that a refusal comes at once, while the
 * caller can still try another target. Calls of a more urgent rank start first; within a rank the call with the
 * earliest latest useful start goes first. A call that has missed its latest useful start yields to one that has not.
 *
 * <p>While fair shares are in force, the calls of a rank start and are admitted in the order of {@link FairShares}
 * instead, and no flow takes more of the queue than it leaves free.
 *
 * <p>Not thread-safe: the owner guards it by a lock. Invariants: there are never more running calls than slots; a
 * refused call never starts.
 */
public final class SlotQueue {

    /** Mean service time before any call has ended, in milliseconds: a typical short request. */
    static final long INITIAL_MEAN_MS = 100;

    /** Weight of the latest call in the moving mean: about the last 20 calls count. */
    private static final double LATEST_CALL_WEIGHT = 0.1;

    /** Maximum of waiting calls for each slot; bounds memory whatever the objectives are. */
    private static final int MAXIMUM_WAITING_PER_SLOT = 8;

    static final Comparator<WaitingCall> ORDER = Comparator.<WaitingCall>comparingInt(
                    waiting -> waiting.request().urgency().rank())
            .thenComparingLong(WaitingCall::latestStartMs)
            .thenComparing(waiting -> waiting.request().callId());

    private final int slots;
    private final BooleanSupplier fairSharesInForce;
    private final FairShares fairShares;
    private final TreeSet<WaitingCall> queue;
    private int running;
    private double meanMs = INITIAL_MEAN_MS;

    /**
     * Creates an empty queue.
     *
     * @param slots the maximum of calls that run at a time, positive.
     * @throws IllegalArgumentException if the number of slots is not positive.
     */
    public SlotQueue(final int slots) {
        this(slots, () -> false);
    }

    /**
     * Creates an empty queue.
     *
     * @param slots the maximum of calls that run at a time, positive.
     * @param fairSharesInForce whether the flows of a rank share the slots, not null.
     * @throws IllegalArgumentException if the number of slots is not positive.
     */
    public SlotQueue(final int slots, final BooleanSupplier fairSharesInForce) {
        this(slots, fairSharesInForce, FairShares.OVERTAKING_SHARE, ORDER);
    }

    SlotQueue(
            final int slots,
            final BooleanSupplier fairSharesInForce,
            final double overtakingShare,
            final Comparator<WaitingCall> order) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        this.slots = slots;
        this.fairSharesInForce = Objects.requireNonNull(fairSharesInForce, "fairSharesInForce");
        this.fairShares = new FairShares(slots, overtakingShare);
        this.queue = new TreeSet<>(order);
    }

    /**
     * Admits a call or refuses it.
     *
     * @param waiting the call, not null.
     * @param nowMs the time, in milliseconds.
     * @return empty if the call was admitted, otherwise the expected wait for which it was refused, in milliseconds.
     */
    public Optional<Long> offer(final WaitingCall waiting, final long nowMs) {
        long waitMs = expectedWaitMs(waiting, nowMs);
        boolean startsAtOnce = running < slots && queue.isEmpty();
        if (!startsAtOnce && (nowMs + waitMs > waiting.latestStartMs() || isFullFor(waiting))) {
            return Optional.of(waitMs);
        }
        queue.add(waiting);
        return Optional.empty();
    }

    private boolean isFullFor(final WaitingCall waiting) {
        int free = slots * MAXIMUM_WAITING_PER_SLOT - queue.size();
        if (!fairSharesInForce.getAsBoolean()) {
            return free <= 0;
        }
        FairShares.Flow flow = FairShares.Flow.of(waiting);
        return queue.stream()
                        .filter(other -> FairShares.Flow.of(other).equals(flow))
                        .count()
                >= free;
    }

    /**
     * Estimates how long a call waits for a slot.
     *
     * @param call the call, not null.
     * @param nowMs the time, in milliseconds.
     * @return the wait in milliseconds, zero if a slot is free.
     */
    public long expectedWaitMs(final WaitingCall call, final long nowMs) {
        if (!fairSharesInForce.getAsBoolean()) {
            return expectedWaitMs(call.request().urgency().rank());
        }
        double aheadMs = fairShares.slotTimeAheadMs(queue, call, nowMs);
        return Math.max(0, Math.round(((running + 1 - slots) * meanMs + aheadMs) / slots));
    }

    /**
     * Estimates how long a call of a rank waits for a slot.
     *
     * @param rank the rank; lower ranks are more urgent.
     * @return the wait in milliseconds, zero if a slot is free.
     */
    public long expectedWaitMs(final int rank) {
        long callsAhead = queue.stream()
                .filter(waiting -> waiting.request().urgency().rank() <= rank)
                .count();
        long callsBeyondSlots = running + callsAhead + 1 - slots;
        return callsBeyondSlots <= 0 ? 0 : Math.round(callsBeyondSlots * meanMs / slots);
    }

    /**
     * Removes the next call to run from the queue and takes a slot for it. A call that has missed its latest useful
     * start is taken only if all waiting calls have missed theirs.
     *
     * @param nowMs the time, in milliseconds.
     * @return the call, or empty if no slot is free or no call waits.
     */
    public Optional<WaitingCall> takeNext(final long nowMs) {
        if (running >= slots || queue.isEmpty()) {
            return Optional.empty();
        }
        WaitingCall next = fairSharesInForce.getAsBoolean() ? fairShares.takeNext(queue, nowMs) : firstInTime(nowMs);
        queue.remove(next);
        running++;
        return Optional.of(next);
    }

    private WaitingCall firstInTime(final long nowMs) {
        for (WaitingCall candidate : queue) {
            if (candidate.latestStartMs() >= nowMs) {
                return candidate;
            }
        }
        return queue.first();
    }

    /**
     * Removes the calls that have missed their latest useful start, if no slot is free.
     *
     * @param nowMs the time, in milliseconds.
     * @return the removed calls, which the caller of this method must refuse; never null.
     */
    public List<WaitingCall> removeLateCalls(final long nowMs) {
        List<WaitingCall> lateCalls = new ArrayList<>();
        if (running < slots) {
            return lateCalls;
        }
        Iterator<WaitingCall> waiting = queue.iterator();
        while (waiting.hasNext()) {
            WaitingCall candidate = waiting.next();
            if (candidate.latestStartMs() < nowMs) {
                waiting.remove();
                lateCalls.add(candidate);
            }
        }
        return lateCalls;
    }

    /**
     * Removes a call that its caller has cancelled.
     *
     * @param waiting the call, not null.
     * @return true if the call was still waiting and therefore never starts.
     */
    public boolean remove(final WaitingCall waiting) {
        return queue.remove(waiting);
    }

    /**
     * Removes the waiting calls that match a condition.
     *
     * @param condition selects the calls, not null.
     * @return the removed calls, which the caller of this method must refuse; never null.
     */
    public List<WaitingCall> removeIf(final Predicate<WaitingCall> condition) {
        List<WaitingCall> removed = queue.stream().filter(condition).toList();
        removed.forEach(queue::remove);
        return removed;
    }

    /**
     * Removes all waiting calls.
     *
     * @return the removed calls, which the caller of this method must refuse; never null.
     */
    public List<WaitingCall> removeAll() {
        List<WaitingCall> all = new ArrayList<>(queue);
        queue.clear();
        return all;
    }

    /**
     * Takes a free slot for a call that never was in the queue.
     *
     * @return false if no slot is free.
     */
    boolean takeSlot() {
        if (running >= slots) {
            return false;
        }
        running++;
        return true;
    }

    /**
     * Frees the slot of a call that has ended.
     *
     * @param durationMs how long the call held the slot, in milliseconds; a negative number leaves the mean as it is.
     */
    public void releaseSlot(final long durationMs) {
        running--;
        if (durationMs >= 0) {
            meanMs += LATEST_CALL_WEIGHT * (durationMs - meanMs);
        }
    }

    /**
     * Counts the calls that run.
     *
     * @return the number of calls, from zero to the number of slots.
     */
    public int running() {
        return running;
    }

    /**
     * Counts the calls that wait.
     *
     * @return the number of calls, zero or more.
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Returns the moving mean of the time for which a call holds a slot.
     *
     * @return the mean in milliseconds.
     */
    public long meanMs() {
        return Math.round(meanMs);
    }
}
