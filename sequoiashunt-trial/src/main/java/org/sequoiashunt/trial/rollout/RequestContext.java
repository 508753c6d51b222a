package org.sequoiashunt.trial.rollout;

/**
 * What one request meets. Immutable and thread-safe.
 *
 * @param elapsedMs time since the commit of the move, in milliseconds.
 * @param route the route.
 * @param newVersion whether the new version runs it.
 * @param target the number of the target's VM.
 * @param targetCalls how many requests the target has run before.
 * @param loadFraction the target's present rate as a part of the rate that it has when its version has all traffic.
 */
record RequestContext(
        long elapsedMs, TrialRoute route, boolean newVersion, int target, long targetCalls, double loadFraction) {}
