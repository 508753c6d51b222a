package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PartialFrameMonitorTest {

    private static final long LIMIT_MS = 10_000;

    private final PartialFrameMonitor progress = new PartialFrameMonitor(LIMIT_MS, 0);

    @Test
    void aFrameThatTricklesInIsStalledAtTheLimit() {
        for (long nowMs = 0; nowMs <= LIMIT_MS; nowMs += 100) {
            progress.bytesRead(1, nowMs);
            assertFalse(progress.isStalled(nowMs));
        }
        assertTrue(progress.isStalled(LIMIT_MS + 1));
    }

    @Test
    void wholeFramesNeverStall() {
        progress.bytesRead(30, 0);
        progress.frameRead(20, 0);
        progress.frameRead(10, 0);
        assertFalse(progress.isStalled(10 * LIMIT_MS));
    }

    @Test
    void theBudgetRefusesOnlyLargeShares() {
        PartialFrameBudget budget = new PartialFrameBudget(1_000_000);
        PartialFrameMonitor large = new PartialFrameMonitor(LIMIT_MS, 0);
        large.bytesRead(900_000, 0);
        assertTrue(budget.account(large));
        progress.bytesRead(60_000, 0);
        assertTrue(budget.account(progress));
        progress.bytesRead(60_000, 0);
        assertFalse(budget.account(progress));
        budget.release(large);
        assertTrue(budget.account(progress));
        assertEquals(120_000, progress.pendingBytes());
    }
}
