package org.sequoiashunt.routing;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * Statistics of one entry about one target: calls in flight, reported load and consecutive failures.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: calls in flight are never negative; an ejection ends
 * after a fixed time.
 */
final class TargetStatistics {

    /** Number of consecutive failures that ejects a target. */
    static final int EJECTION_FAILURE_COUNT = 5;

    /** Duration of the first ejection; each consecutive ejection doubles it. */
    static final long INITIAL_EJECTION_MS = 2_000;

    /** Maximum duration of an ejection. */
    static final long MAXIMUM_EJECTION_MS = 30_000;

    /** Time after which a new target gets its full share. */
    static final long RAMP_MS = 10_000;

    /** Weight of a target at the start of its ramp, as a fraction of its full weight. */
    static final double INITIAL_RAMP_WEIGHT = 0.1;

    /** Time after which a reported load is ignored, as the queue that it described has been processed. */
    static final long MAXIMUM_LOAD_AGE_MS = 500;

    private final long firstSeenMs;
    private int inFlight;
    private int reportedLoad;
    private long reportedAtMs;
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long ejectedUntilMs;
    private long lastUsedMs;

    TargetStatistics(final long firstSeenMs) {
        this.firstSeenMs = firstSeenMs;
        this.lastUsedMs = firstSeenMs;
    }

    synchronized void recordStart(final long nowMs) {
        inFlight++;
        lastUsedMs = nowMs;
    }

    synchronized void recordEnd(final CallResult result, final long nowMs) {
        inFlight = Math.max(0, inFlight - 1);
        reportedLoad = result.load();
        reportedAtMs = nowMs;
        if (isFailure(result)) {
            recordFailure(nowMs);
        } else if (result.outcome() == Outcome.COMPLETE) {
            consecutiveFailures = 0;
            consecutiveEjections = 0;
        }
    }

    private void recordFailure(final long nowMs) {
        consecutiveFailures++;
        if (consecutiveFailures < EJECTION_FAILURE_COUNT) {
            return;
        }
        long durationMs = Math.min(MAXIMUM_EJECTION_MS, INITIAL_EJECTION_MS << Math.min(consecutiveEjections, 10));
        ejectedUntilMs = nowMs + durationMs;
        consecutiveEjections++;
        consecutiveFailures = EJECTION_FAILURE_COUNT - 1;
    }

    /** Responses with status 5xx and broken calls are failures; cancelled calls and refusals by the gate are not. */
    private static boolean isFailure(final CallResult result) {
        return switch (result.outcome()) {
            case COMPLETE -> result.response().orElseThrow().status() >= 500;
            case UNKNOWN -> result.reason() != Reason.CANCELLED;
            case NOT_RUN -> result.reason() == Reason.CONNECTION_FAILED;
        };
    }

    synchronized boolean isEjected(final long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /**
     * Returns the expected work per slot, weighted by the ramp; the target with the lower score is preferred.
     */
    synchronized double score(final int slots, final long nowMs) {
        boolean loadIsRecent = nowMs - reportedAtMs <= MAXIMUM_LOAD_AGE_MS;
        double work = 1.0 + Math.max(inFlight, loadIsRecent ? reportedLoad : 0);
        return work / (slots * rampWeight(nowMs));
    }

    synchronized boolean hasSpareSlot(final int slots, final long nowMs) {
        boolean loadIsRecent = nowMs - reportedAtMs <= MAXIMUM_LOAD_AGE_MS;
        return Math.max(inFlight, loadIsRecent ? reportedLoad : 0) < Math.max(1, slots * rampWeight(nowMs));
    }

    private double rampWeight(final long nowMs) {
        double progress = (double) (nowMs - firstSeenMs) / RAMP_MS;
        return Math.min(1.0, INITIAL_RAMP_WEIGHT + progress * (1.0 - INITIAL_RAMP_WEIGHT));
    }

    synchronized boolean isUnusedSince(final long timeMs) {
        return inFlight == 0 && lastUsedMs < timeMs;
    }
}
