package org.sequoiashunt.trial.target;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts how often each named request was run, over all fake targets of a process.
 *
 * <p>Thread-safe.
 */
public final class RunLog {

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /**
     * Counts one run of a request.
     *
     * @param requestName the name that the caller gave the request, not null.
     */
    public void addRun(final String requestName) {
        runs.merge(requestName, 1, Integer::sum);
    }

    /**
     * Returns how often a request was run.
     *
     * @param requestName the name that the caller gave the request, not null.
     * @return the number of runs, zero or more.
     */
    public int runCount(final String requestName) {
        return runs.getOrDefault(requestName, 0);
    }
}
