package org.sequoiashunt.trial.store;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Limits a rate: holds the tokens of one second, and refills evenly.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: there are never more tokens than the rate of one second.
 */
final class TokenBucket {

    private static final double MS_PER_SECOND = 1_000.0;

    private final Clock clock;
    private final double perSecond;
    private double tokens;
    private long refilledAtMs;

    TokenBucket(final Clock clock, final int perSecond) {
        if (perSecond < 1) {
            throw new IllegalArgumentException("perSecond must be positive: " + perSecond);
        }
        this.clock = Objects.requireNonNull(clock, "clock");
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.refilledAtMs = clock.nowMs();
    }

    synchronized boolean tryTake() {
        long nowMs = clock.nowMs();
        tokens = Math.min(perSecond, tokens + (nowMs - refilledAtMs) * perSecond / MS_PER_SECOND);
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
