package org.sequoiashunt.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sequoiashunt.time.SteppedClock;

class RetryBudgetTest {

    private final SteppedClock clock = SteppedClock.of(0);
    private final RetryBudget budget = new RetryBudget(clock);

    @Test
    void retriesAreLimitedToFractionOfFirstAttempts() {
        int retries = 0;
        for (int attempt = 0; attempt < 10_000; attempt++) {
            budget.recordFirstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        double bound = 10_000 * RetryBudget.RETRIES_PER_FIRST_ATTEMPT + RetryBudget.MAXIMUM_BALANCE;
        assertTrue(retries <= bound, "retries " + retries);
        assertTrue(retries >= bound * 0.9, "retries " + retries);
    }

    @Test
    void allowanceRefillsWithTime() {
        drainBudget();
        clock.advance(1_000);
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }
        assertEquals((int) RetryBudget.RETRIES_PER_SECOND, retries);
    }

    private void drainBudget() {
        while (budget.tryRetry()) {
            // Takes all retries in the balance.
        }
    }
}
