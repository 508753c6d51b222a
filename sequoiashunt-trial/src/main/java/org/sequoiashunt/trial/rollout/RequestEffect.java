package org.sequoiashunt.trial.rollout;

/**
 * What the state of the world does to one request. Immutable and thread-safe.
 *
 * @param failureRate the probability that the request fails.
 * @param latencyFactor by how much its latency grows.
 */
record RequestEffect(double failureRate, double latencyFactor) {

    static final RequestEffect NONE = new RequestEffect(0, 1);
}
