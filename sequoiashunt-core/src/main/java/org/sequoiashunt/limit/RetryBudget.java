package org.sequoiashunt.limit;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Limits retries to a fraction of first attempts, so that retries cannot multiply an overload.
 *
 * <p>Call {@link #recordFirstAttempt()} for each request and {@link #tryRetry()} before each retry.
 * Time adds a small number of retries, so that retries stay possible at low request rates.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the balance is from zero to {@link #MAXIMUM_BALANCE}.
 */
public final class RetryBudget {

    /** Retries added to the balance by each first attempt. */
    public static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

    /** Retries added to the balance in each second, independent of load. */
    public static final double RETRIES_PER_SECOND = 2;

    /** Largest balance of unused retries. */
    public static final double MAXIMUM_BALANCE = 20;

    private static final double MS_PER_SECOND = 1_000;

    private final Clock clock;
    private double balance = MAXIMUM_BALANCE;
    private long refilledAtMs;

    /**
     * Creates a budget with the largest balance.
     *
     * @param clock the clock, not null.
     */
    public RetryBudget(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.refilledAtMs = clock.nowMs();
    }

    /** Adds a fraction of a retry to the balance. */
    public synchronized void recordFirstAttempt() {
        add(RETRIES_PER_FIRST_ATTEMPT);
    }

    /**
     * Takes one retry from the balance, if there is one.
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
