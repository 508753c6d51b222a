package org.sequoiashunt.rollout;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tells which calls find a cold target: the first ones after its start, over all routes.
 *
 * <p>Counted in calls and not in seconds, since caches and compilers warm up by use, and a target with little traffic
 * stays cold for long. Thread-safe: one atomic counter.
 */
final class ColdStartDetector {

    private static final int COLD_CALLS = 24;

    private final AtomicInteger calls = new AtomicInteger();

    /**
     * Counts a call.
     *
     * @return true if it is one of the first.
     */
    boolean next() {
        return calls.get() < COLD_CALLS && calls.getAndIncrement() < COLD_CALLS;
    }

    /** Makes the next calls the first ones, because the target was started anew. */
    void restart() {
        calls.set(0);
    }
}
