package org.sequoiashunt.pipeline;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bound on the calls that run ahead of their turn on all connections of a node. Thread-safe.
 *
 * <p>No further call runs ahead while the results kept have the largest number of bytes. Those that run already may add
 * theirs, so the memory is bounded by that number and one response for each call.
 */
public final class ReadAheadBudget {

    private final int maximumCalls;
    private final long maximumBytes;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maximumCalls the largest number of calls, not negative.
     * @param maximumBytes the bytes of kept results from which on no call runs ahead, not negative.
     * @throws IllegalArgumentException if a number is negative.
     */
    public ReadAheadBudget(final int maximumCalls, final long maximumBytes) {
        if (maximumCalls < 0 || maximumBytes < 0) {
            throw new IllegalArgumentException("the numbers of calls and bytes must not be negative");
        }
        this.maximumBytes = maximumBytes;
        this.maximumCalls = maximumCalls;
    }

    boolean tryAcquire() {
        if (calls.incrementAndGet() > maximumCalls || bytes.get() >= maximumBytes) {
            calls.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Counts the bytes of a result that is kept; a negative number releases them. */
    void addBytes(final long added) {
        bytes.addAndGet(added);
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
