package org.sequoiashunt.trial.store;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Token bucket that limits a rate: holds at most the tokens of one second and refills continuously.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: there are never more tokens than the rate of one second.
 */
final class TokenBucket {

    private static final double MS_PER_SECOND = 1_000.0;

    private final Clock clock;
    private final double tokensPerSecond;
    private double tokens;
    private long lastRefillMs;

    TokenBucket(final Clock clock, final int tokensPerSecond) {
        if (tokensPerSecond < 1) {
            throw new IllegalArgumentException("tokensPerSecond must be positive: " + tokensPerSecond);
        }
        this.clock = Objects.requireNonNull(clock, "clock");
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.lastRefillMs = clock.nowMs();
    }

    synchronized boolean tryAcquire() {
        long nowMs = clock.nowMs();
        tokens = Math.min(tokensPerSecond, tokens + (nowMs - lastRefillMs) * tokensPerSecond / MS_PER_SECOND);
        lastRefillMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
