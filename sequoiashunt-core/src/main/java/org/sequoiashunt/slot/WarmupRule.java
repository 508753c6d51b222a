package org.sequoiashunt.slot;

/**
 * Limit on the calls that a target gets while it is cold.
 *
 * <p>Immutable and thread-safe.
 *
 * @param warmupMs how long a target is cold after it starts, in milliseconds, zero or more.
 * @param requestsPerSecond the calls that a cold target may get in a second; zero for no limit.
 */
public record WarmupRule(long warmupMs, double requestsPerSecond) {

    /** No limit. */
    public static final WarmupRule NONE = new WarmupRule(0, 0);

    boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
