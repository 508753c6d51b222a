package org.sequoiashunt.limit;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Bounds retries to a fraction of first attempts, so that retries cannot multiply an overload.
 *
 * <p>Call {@link #firstAttempt()} for each request and {@link #tryRetry()} before each retry. A small allowance per
 * second keeps retries possible at low rates.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the balance is from zero to {@link #MAXIMUM_BALANCE}.
 */
public final class RetryBudget {

    /** Retries earned by each first attempt. */
    public static final double RETRIES_PER_ATTEMPT = 0.1;

    /** Retries earned by each second, whatever the load. */
    public static final double RETRIES_PER_SECOND = 2;

    /** Most retries that can be saved up. */
    public static final double MAXIMUM_BALANCE = 20;

    private static final double MS_PER_SECOND = 1_000;

    private final Clock clock;
    private double balance = MAXIMUM_BALANCE;
    private long refilledAtMs;

    /**
     * Creates a full budget.
     *
     * @param clock the clock, not null.
     */
    public RetryBudget(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.refilledAtMs = clock.nowMs();
    }

    /** Earns a fraction of a retry. */
    public synchronized void firstAttempt() {
        add(RETRIES_PER_ATTEMPT);
    }

    /**
     * Spends one retry.
     *
     * @return true if the retry is allowed.
     */
    public synchronized boolean tryRetry() {
        long nowMs = clock.nowMs();
        add((nowMs - refilledAtMs) / MS_PER_SECOND * RETRIES_PER_SECOND);
        refilledAtMs = nowMs;
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }

    private void add(final double retries) {
        balance = Math.min(MAXIMUM_BALANCE, balance + retries);
    }
}
