package org.sequoiashunt.routing;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * What one entry has observed of one target: calls in flight, reported load, and failures in a row.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: calls in flight never fall below zero; an ejection ends by
 * itself.
 */
final class TargetStatistics {

    /** Failures in a row that eject a target. */
    static final int EJECTION_FAILURES = 5;

    /** First ejection; each further one doubles it. */
    static final long EJECTION_BASE_MS = 2_000;

    /** Longest ejection. */
    static final long EJECTION_MAXIMUM_MS = 30_000;

    /** Time over which a target that was just seen gets its full share. */
    static final long RAMP_MS = 10_000;

    /** Weight of a target at the start of its ramp. */
    static final double RAMP_START = 0.1;

    /** A reported load is ignored after this time, as the queue it described is gone. */
    static final long LOAD_AGE_MS = 500;

    private final long firstSeenMs;
    private int inFlight;
    private int reportedLoad;
    private long reportedAtMs;
    private int failuresInRow;
    private int ejections;
    private long ejectedUntilMs;
    private long lastUsedMs;

    TargetStatistics(final long firstSeenMs) {
        this.firstSeenMs = firstSeenMs;
        this.lastUsedMs = firstSeenMs;
    }

    synchronized void started(final long nowMs) {
        inFlight++;
        lastUsedMs = nowMs;
    }

    synchronized void ended(final CallResult result, final long nowMs) {
        inFlight = Math.max(0, inFlight - 1);
        reportedLoad = result.load();
        reportedAtMs = nowMs;
        if (isFailure(result)) {
            failed(nowMs);
        } else if (result.outcome() == Outcome.COMPLETE) {
            failuresInRow = 0;
            ejections = 0;
        }
    }

    private void failed(final long nowMs) {
        failuresInRow++;
        if (failuresInRow < EJECTION_FAILURES) {
            return;
        }
        long durationMs = Math.min(EJECTION_MAXIMUM_MS, EJECTION_BASE_MS << Math.min(ejections, 10));
        ejectedUntilMs = nowMs + durationMs;
        ejections++;
        failuresInRow = EJECTION_FAILURES - 1;
    }

    /** Answers of the target with status 5xx and broken calls count as failures; refusals by its gate do not. */
    private static boolean isFailure(final CallResult result) {
        return switch (result.outcome()) {
            case COMPLETE -> result.answer().orElseThrow().status() >= 500;
            case UNKNOWN -> result.reason() != Reason.CANCELLED;
            case NOT_RUN -> result.reason() == Reason.CONNECTION_FAILED;
        };
    }

    synchronized boolean isEjected(final long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /**
     * Returns expected work per slot, lower is better.
     */
    synchronized double score(final int slots, final long nowMs) {
        boolean fresh = nowMs - reportedAtMs <= LOAD_AGE_MS;
        double work = 1.0 + Math.max(inFlight, fresh ? reportedLoad : 0);
        return work / (slots * ramp(nowMs));
    }

    synchronized boolean hasSpareSlot(final int slots, final long nowMs) {
        boolean fresh = nowMs - reportedAtMs <= LOAD_AGE_MS;
        return Math.max(inFlight, fresh ? reportedLoad : 0) < Math.max(1, slots * ramp(nowMs));
    }

    private double ramp(final long nowMs) {
        double progress = (double) (nowMs - firstSeenMs) / RAMP_MS;
        return Math.min(1.0, RAMP_START + progress * (1.0 - RAMP_START));
    }

    synchronized boolean isUnusedSince(final long timeMs) {
        return inFlight == 0 && lastUsedMs < timeMs;
    }
}
