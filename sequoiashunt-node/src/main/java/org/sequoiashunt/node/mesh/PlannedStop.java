package org.sequoiashunt.node.mesh;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Phases of a planned stop of a node, by the time since it began: the node reports that it is not ready, then refuses
 * requests, then keeps the connections of callers open for a linger time.
 *
 * <p>Thread-safe. Invariant: requests that are accepted end, and the linger time ends, before the forced stop, if the
 * time until then is longer than that for which requests are accepted.
 */
final class PlannedStop {

    /** Longest time in which the last answers reach callers and nodes: twice the round trip between regions. */
    static final long LAST_ANSWERS_MS = 150;

    /** Time after the shutdown signal in which requests are accepted: callers need two readiness checks to see it. */
    private static final long ACCEPT_WHILE_DRAINING_MS = 2_400;

    /** Time before the forced stop at which draining ends even if requests are unfinished. */
    private static final long FORCED_STOP_MARGIN_MS = 400;

    /**
     * Longest time in which callers, who are on the same VM, send a request on a connection and get its answer. With
     * 150 ms, connections were cut in one of ten stops on a machine with three times more running threads than cores.
     */
    private static final long LINGER_MS = 500;

    /** Time before the forced stop in which the process ends. */
    private static final long PROCESS_END_MS = 100;

    private final Clock clock;
    private final long shutdownMs;
    private volatile boolean draining;
    private volatile boolean refusing;
    private volatile long startedMs;

    /**
     * Creates a stop that has not begun.
     *
     * @param clock the time source, not null.
     * @param shutdownMs the time between the begin and the forced stop, in milliseconds.
     */
    PlannedStop(final Clock clock, final long shutdownMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.shutdownMs = shutdownMs;
    }

    void begin() {
        startedMs = clock.nowMs();
        draining = true;
    }

    /** Refuses requests from this call on. */
    void refuseRequests() {
        refusing = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether the stop is so near that requests are refused. */
    boolean refusesRequests() {
        return refusing || draining && elapsedMs() >= ACCEPT_WHILE_DRAINING_MS;
    }

    /** Returns the time at which requests that are unfinished are given up, in milliseconds of the clock. */
    long requestsEndMs() {
        return startedMs + Math.max(ACCEPT_WHILE_DRAINING_MS, shutdownMs - FORCED_STOP_MARGIN_MS);
    }

    /** Returns the time since the stop began, in milliseconds. */
    long elapsedMs() {
        return clock.nowMs() - startedMs;
    }

    /**
     * Returns the longest time for which connections of callers stay open once no more are accepted, in milliseconds;
     * 0 if the stop is not planned, since requests would not be refused then.
     */
    long lingerMs() {
        return refusing ? Math.max(0, Math.min(LINGER_MS, shutdownMs - PROCESS_END_MS - elapsedMs())) : 0;
    }
}
