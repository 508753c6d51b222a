package org.sequoiashunt.rollout;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Detects calls to a cold target: the first calls after its start, over all routes.
 *
 * <p>The warm-up is measured in calls and not in seconds, since caches and compilers warm up by use, so that a target
 * with little traffic stays cold for long. Thread-safe: one atomic counter.
 */
final class ColdStartDetector {

    private static final int COLD_CALL_COUNT = 24;

    private final AtomicInteger callCount = new AtomicInteger();

    /**
     * Counts a call.
     *
     * @return true if the call is one of the first since the start, so the target is cold.
     */
    boolean countCall() {
        return callCount.get() < COLD_CALL_COUNT && callCount.getAndIncrement() < COLD_CALL_COUNT;
    }

    /**
     * Restarts the count after a restart of the target, so that the next calls are treated as calls to a cold target.
     */
    void reset() {
        callCount.set(0);
    }
}
