package org.sequoiashunt.slot;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.TargetCaller;

/**
 * Decides after which silence of its target a running call is given up, so that its entry can try another target while
 * time is left.
 *
 * <p>A run that is given up wrongly is lost work and spends the retry budget, so a call is given up only if its target
 * is probably unresponsive and a second attempt is possible. Calls that are not idempotent are never given up: their
 * outcome would be unknown and their answer lost.
 *
 * <p>Stateless and thread-safe.
 */
final class SilencePolicy {

    /**
     * Silence, as a multiple of the mean duration of the route at this target, after which the target is unresponsive.
     * About 3% of the calls take 7 times the mean, and targets are slower by 2.5 to 12 times at times. 14 covers such a
     * call while the target is slower by 2, and any other call while it is slower by 12; the mean follows within a few
     * answers when the slow phase lasts.
     */
    static final double MEAN_FACTOR = 14;

    /** Answers of a route before its mean is relied on: by then it is mostly their mean and not the first one's. */
    static final int MINIMUM_ANSWERS = 10;

    /** Time for a second attempt, as a multiple of the mean: it may wait for a slot at a target that is in use. */
    private static final double SECOND_ATTEMPT_FACTOR = 4;

    /** Time for the links of a second attempt in another region, in milliseconds. */
    private static final long SECOND_ATTEMPT_LINK_MS = 130;

    private SilencePolicy() {}

    /**
     * Returns the longest silence of the target that a call waits for, from the time at which it is sent.
     *
     * @param request the call, not null.
     * @param meanMs the mean duration of the route's calls at this target, in milliseconds.
     * @param answers the number of answers of the route at this target.
     * @param nowMs when the call is sent, in milliseconds of the local clock.
     * @return the time in milliseconds, at least the time until the objective of the call;
     *     {@link TargetCaller#NO_SILENCE_LIMIT} if it is not given up before its deadline: it is not idempotent, is a
     *     repeated attempt, whose request has probably none left, the target is not known well enough, or too little
     *     time would be left for another attempt.
     */
    static long silenceLimitMs(final CallRequest request, final long meanMs, final int answers, final long nowMs) {
        return silenceLimitMs(request, meanMs, answers, nowMs, MEAN_FACTOR);
    }

    static long silenceLimitMs(
            final CallRequest request,
            final long meanMs,
            final int answers,
            final long nowMs,
            final double meanFactor) {
        if (!request.idempotent() || request.repeated() || answers < MINIMUM_ANSWERS) {
            return TargetCaller.NO_SILENCE_LIMIT;
        }
        long limitMs = Math.max(
                Math.round(meanFactor * Math.max(1, meanMs)), request.urgency().objectiveMs() - nowMs);
        long secondAttemptMs = Math.round(SECOND_ATTEMPT_FACTOR * meanMs) + SECOND_ATTEMPT_LINK_MS;
        return limitMs + secondAttemptMs > request.deadlineMs() - nowMs ? TargetCaller.NO_SILENCE_LIMIT : limitMs;
    }
}
