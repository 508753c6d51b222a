package org.sequoiashunt.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.time.SteppedClock;

class SlidingWindowRetryBudgetTest {

    private static final long WINDOW_MS = 10_000;

    private static final long DISCOVERY_MS = 2_000;

    private final SteppedClock clock = SteppedClock.of(0);
    private int nodes = 10;
    private final SlidingWindowRetryBudget budget =
            new SlidingWindowRetryBudget(clock, new SlidingWindowRetryBudget.Bounds(0.2, 50, WINDOW_MS), () -> nodes);

    @BeforeEach
    void knowOtherNodes() {
        clock.advance(DISCOVERY_MS);
    }

    private int spendRemainingRetries() {
        int spent = 0;
        while (budget.tryRetry("desk")) {
            spent++;
        }
        return spent;
    }

    @Test
    void allowanceIsDividedByNodesWithoutLoad() {
        assertEquals(3, spendRemainingRetries());
        assertFalse(budget.tryRetry("desk"));
        assertTrue(budget.tryRetry("floor"), "services have separate budgets");
    }

    /** All nodes restart and know no others yet: each of them would take the whole allowance. */
    @Test
    void nodeThatHasJustStartedTakesNoPartOfTheAllowance() {
        nodes = 1;
        SlidingWindowRetryBudget restarted = new SlidingWindowRetryBudget(
                clock, new SlidingWindowRetryBudget.Bounds(0.2, 50, WINDOW_MS), () -> nodes);
        assertFalse(restarted.tryRetry("desk"));
        for (int request = 0; request < 100; request++) {
            restarted.recordRequest("desk");
        }
        assertTrue(restarted.tryRetry("desk"), "its own requests allow retries");
    }

    /** Half of the nodes are cut off from the others: both halves together must stay within the allowance. */
    @Test
    void nodesThatAreCutOffFromEachOtherTakeNoGreaterParts() {
        budget.recordRequest("floor");
        nodes = 5;
        clock.advance(WINDOW_MS / 2);
        assertEquals(3, spendRemainingRetries());
        clock.advance(2 * WINDOW_MS);
        budget.recordRequest("floor");
        clock.advance(WINDOW_MS);
        assertEquals(7, spendRemainingRetries(), "after a window the others are taken for gone");
    }

    @Test
    void budgetGrowsWithRequests() {
        for (int request = 0; request < 100; request++) {
            budget.recordRequest("desk");
        }
        assertEquals(17, spendRemainingRetries());
    }

    @Test
    void budgetRefillsAfterTheWindow() {
        spendRemainingRetries();
        clock.advance(WINDOW_MS - 1_000);
        assertEquals(0, spendRemainingRetries());
        clock.advance(2_000);
        assertEquals(3, spendRemainingRetries());
    }

    @Test
    void retriesStayWithinBudgetInEveryWindowOfARetryStorm() {
        Random random = new Random(11);
        long[] spentAt = new long[400];
        long[] requestedAt = new long[400];
        for (int step = 0; step < 400; step++) {
            for (int request = 0; request < random.nextInt(8); request++) {
                budget.recordRequest("desk");
                requestedAt[step]++;
            }
            spentAt[step] = spendRemainingRetries();
            clock.advance(100);
        }
        for (int first = 0; first + 100 <= 400; first++) {
            long spent = 0;
            long requested = 0;
            for (int step = first; step < first + 100; step++) {
                spent += spentAt[step];
                requested += requestedAt[step];
            }
            long before = 0;
            for (int step = Math.max(0, first - 50); step < first + 50; step++) {
                before += requestedAt[step];
            }
            assertTrue(spent <= 0.2 * Math.max(requested, before) + 5, "span " + first + ": " + spent);
        }
    }
}
