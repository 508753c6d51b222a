package org.sequoiashunt.gate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the occupied slots of one target and queues the calls that wait for a slot.
 *
 * <p>Not thread-safe: guarded by the monitor of its {@link TargetGate}. Invariants: no more calls run than there are
 * slots; a call that must run alone has the target to itself; calls start in order of arrival.
 */
final class GateQueue {

    /** Weight of the latest run in the moving average of the service time. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final int slots;
    private final Deque<QueuedCall> waiting = new ArrayDeque<>();
    private int running;
    private boolean aloneRunning;
    private double meanServiceTimeMs;

    GateQueue(final int slots) {
        this.slots = slots;
    }

    int load() {
        return running + waiting.size();
    }

    int running() {
        return running;
    }

    /** Returns whether a call that arrives at this moment is expected to get a slot within the given time. */
    boolean canAccept(final long maximumWaitMs) {
        if (running < slots && waiting.isEmpty()) {
            return true;
        }
        if (waiting.size() >= slots) {
            return false;
        }
        double expectedWaitMs = meanServiceTimeMs * (waiting.size() + 1) / slots;
        return expectedWaitMs <= maximumWaitMs;
    }

    void add(final QueuedCall call) {
        waiting.add(call);
    }

    /** Removes the next call from the queue if it may start, and counts it as running. */
    Optional<QueuedCall> startNext() {
        QueuedCall next = waiting.peek();
        if (next == null || !mayStart(next)) {
            return Optional.empty();
        }
        waiting.remove();
        running++;
        aloneRunning = next.isAlone();
        return Optional.of(next);
    }

    private boolean mayStart(final QueuedCall call) {
        if (aloneRunning) {
            return false;
        }
        return call.isAlone() ? running == 0 : running < slots;
    }

    void releaseSlot() {
        running--;
        aloneRunning = false;
    }

    void recordEnd(final long durationMs) {
        releaseSlot();
        meanServiceTimeMs += (durationMs - meanServiceTimeMs) * NEWEST_WEIGHT;
    }

    /** Removes the calls whose wait has expired or whose result is already complete, as after a cancellation. */
    List<QueuedCall> removeExpired(final long nowMs) {
        List<QueuedCall> expired = new ArrayList<>();
        for (Iterator<QueuedCall> iterator = waiting.iterator(); iterator.hasNext(); ) {
            QueuedCall call = iterator.next();
            if (call.expiresMs() <= nowMs || call.result().isDone()) {
                iterator.remove();
                expired.add(call);
            }
        }
        return expired;
    }

    List<QueuedCall> removeAll() {
        List<QueuedCall> removed = new ArrayList<>(waiting);
        waiting.clear();
        return removed;
    }
}
