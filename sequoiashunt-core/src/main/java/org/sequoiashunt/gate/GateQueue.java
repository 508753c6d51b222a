package org.sequoiashunt.gate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Slots of one target and the calls that wait for one.
 *
 * <p>Not thread-safe: guarded by the monitor of its {@link TargetGate}. Invariants: no more calls run than there are
 * slots; a call that must run alone has the target to itself; calls start in order of arrival.
 */
final class GateQueue {

    /** Weight of the newest run in the mean service time. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final int slots;
    private final Deque<QueuedCall> waiting = new ArrayDeque<>();
    private int running;
    private boolean aloneRunning;
    private double serviceTimeMs;

    GateQueue(final int slots) {
        this.slots = slots;
    }

    int load() {
        return running + waiting.size();
    }

    int running() {
        return running;
    }

    /** Tells whether a call that arrives now can expect a slot within the time given. */
    boolean hasRoom(final long withinMs) {
        if (running < slots && waiting.isEmpty()) {
            return true;
        }
        if (waiting.size() >= slots) {
            return false;
        }
        double expectedWaitMs = serviceTimeMs * (waiting.size() + 1) / slots;
        return expectedWaitMs <= withinMs;
    }

    void add(final QueuedCall call) {
        waiting.add(call);
    }

    /** Takes the next call that may start now and counts it as running. */
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

    void abandoned() {
        running--;
        aloneRunning = false;
    }

    void ended(final long durationMs) {
        abandoned();
        serviceTimeMs += (durationMs - serviceTimeMs) * NEWEST_WEIGHT;
    }

    /** Removes the calls that have waited too long or whose callers gave up. */
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
