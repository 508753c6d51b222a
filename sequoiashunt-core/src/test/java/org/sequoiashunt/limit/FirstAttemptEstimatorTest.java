package org.sequoiashunt.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;

class FirstAttemptEstimatorTest {

    private static final long LONGEST_REMAINING_MS = 2_500;

    private final FirstAttemptEstimator estimator = new FirstAttemptEstimator();
    private final Random random = new Random(3);

    private long estimateFirstAttempt() {
        return estimator.recordAndEstimateElapsedMs("lookup", firstAttemptRemainingMs());
    }

    /** Remaining times of first attempts differ by up to 15%. */
    private long firstAttemptRemainingMs() {
        return LONGEST_REMAINING_MS - random.nextInt(375);
    }

    private void recordFirstAttempts(final int count) {
        for (int request = 0; request < count; request++) {
            estimateFirstAttempt();
        }
    }

    @Test
    void firstAttemptsHaveNoElapsedTime() {
        for (int request = 0; request < 2_000; request++) {
            assertEquals(0, estimateFirstAttempt());
        }
    }

    @Test
    void retryIsRecognisedAfterFirstAttempts() {
        recordFirstAttempts(100);
        assertEquals(700, estimator.recordAndEstimateElapsedMs("lookup", 1_600), 100);
    }

    @Test
    void retriesAreRecognisedWhenMostRequestsAreRetries() {
        recordFirstAttempts(100);
        for (int request = 0; request < 2_000; request++) {
            boolean first = random.nextDouble() < 0.3;
            long elapsedMs = estimator.recordAndEstimateElapsedMs(
                    "lookup", first ? firstAttemptRemainingMs() : 200 + random.nextInt(1_700));
            assertEquals(first, elapsedMs == 0);
        }
    }

    @Test
    void fewLongTimeoutsDoNotMakeFirstAttemptsLookLikeRetries() {
        for (int request = 0; request < 1_000; request++) {
            assertEquals(
                    0,
                    estimator.recordAndEstimateElapsedMs(
                            "lookup", request % 20 == 0 ? 9_000 : firstAttemptRemainingMs()));
        }
    }

    @Test
    void estimateFollowsChangedTimeout() {
        recordFirstAttempts(300);
        for (int request = 0; request < 300; request++) {
            estimator.recordAndEstimateElapsedMs("lookup", 1_000);
        }
        assertEquals(0, estimator.recordAndEstimateElapsedMs("lookup", 1_000));
        assertEquals(320, estimator.recordAndEstimateElapsedMs("lookup", 600));
    }

    @Test
    void newRouteHasNoElapsedTime() {
        assertEquals(0, estimator.recordAndEstimateElapsedMs("new", 2_500));
        assertEquals(0, estimator.recordAndEstimateElapsedMs("new", 100));
        assertThrows(NullPointerException.class, () -> estimator.recordAndEstimateElapsedMs(null, 1));
    }

    @Test
    void routesAreClearedAtMaximum() {
        recordFirstAttempts(100);
        for (int route = 0; route < 3_000; route++) {
            assertEquals(0, estimator.recordAndEstimateElapsedMs("r" + route, 100));
        }
        assertEquals(0, estimator.recordAndEstimateElapsedMs("lookup", 1_600));
    }
}
