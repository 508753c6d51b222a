package org.sequoiashunt.pipeline;

import java.util.concurrent.atomic.AtomicInteger;

/** Bound on the calls that run ahead of their turn on all connections of a node. Thread-safe. */
public final class ReadAheadBudget {

    private final int maximumCalls;
    private final AtomicInteger calls = new AtomicInteger();

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maximumCalls the largest number of calls, not negative.
     * @throws IllegalArgumentException if the number is negative.
     */
    public ReadAheadBudget(final int maximumCalls) {
        if (maximumCalls < 0) {
            throw new IllegalArgumentException("the number of calls must not be negative");
        }
        this.maximumCalls = maximumCalls;
    }

    boolean tryAcquire() {
        if (calls.incrementAndGet() > maximumCalls) {
            calls.decrementAndGet();
            return false;
        }
        return true;
    }

    void release() {
        calls.decrementAndGet();
    }

    /**
     * Returns the calls that run or whose results are kept.
     *
     * @return their number.
     */
    public int calls() {
        return calls.get();
    }
}
