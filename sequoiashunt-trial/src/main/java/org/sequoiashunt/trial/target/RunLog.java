package org.sequoiashunt.trial.target;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts how often each caller's request was run, over all target stand-ins of a process.
 *
 * <p>Thread-safe.
 */
public final class RunLog {

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /**
     * Records a run.
     *
     * @param requestName the caller's own name for its request, not null.
     */
    public void ran(final String requestName) {
        runs.merge(requestName, 1, Integer::sum);
    }

    /**
     * Returns how often a request was run.
     *
     * @param requestName the caller's own name for its request, not null.
     * @return the number of runs, zero or more.
     */
    public int runsOf(final String requestName) {
        return runs.getOrDefault(requestName, 0);
    }
}
