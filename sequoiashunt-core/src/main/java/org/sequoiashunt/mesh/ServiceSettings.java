package org.sequoiashunt.mesh;

/**
 * What the configuration states of a service's targets while they are cold after a start.
 *
 * <p>Immutable and thread-safe. Invariant: both components are zero or more.
 *
 * @param warmupMs how long a target is cold after it starts, in milliseconds; zero if it is never cold.
 * @param warmupRequestsPerSecond the requests per second that a cold target sustains; zero for no limit.
 */
public record ServiceSettings(long warmupMs, double warmupRequestsPerSecond) {

    /** Settings of a service whose targets need no limit while they warm up. */
    public static final ServiceSettings DEFAULT = new ServiceSettings(0, 0);

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is negative or not a number.
     */
    public ServiceSettings {
        if (warmupMs < 0 || !(warmupRequestsPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "warm-up out of range: " + warmupMs + " ms, " + warmupRequestsPerSecond + " requests per second");
        }
    }
}
