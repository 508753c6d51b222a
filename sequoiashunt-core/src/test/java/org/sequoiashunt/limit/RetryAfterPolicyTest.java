package org.sequoiashunt.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryAfterPolicyTest {

    private final RetryAfterPolicy policy = new RetryAfterPolicy(new Random(1));

    @Test
    void delaysOfABurstAreSpread() {
        int early = 0;
        for (int caller = 0; caller < 1_000; caller++) {
            long delayMs = policy.delayMs(100, 10_000);
            assertTrue(delayMs >= 150 && delayMs <= 450, delayMs + " ms");
            early += delayMs < 300 ? 1 : 0;
        }
        assertTrue(early > 400 && early < 600, early + " of 1000 in the first half");
    }

    @Test
    void delayIsLimitedByRemainingTime() {
        for (int caller = 0; caller < 100; caller++) {
            assertTrue(policy.delayMs(5_000, 900) <= 300);
            assertTrue(policy.delayMs(0, 60) <= 20);
            assertTrue(policy.delayMs(0, -5) >= 1);
        }
    }

    @Test
    void delayIsLongWithoutATarget() {
        assertTrue(policy.delayMs(0, 10_000) >= 200);
    }
}
