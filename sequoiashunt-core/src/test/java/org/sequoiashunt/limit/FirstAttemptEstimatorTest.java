package org.sequoiashunt.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;

class FirstAttemptEstimatorTest {

    private static final long LONGEST_MS = 2_500;

    private final FirstAttemptEstimator waits = new FirstAttemptEstimator();
    private final Random random = new Random(3);

    /** Callers differ by up to 15% in how long they wait. */
    private long firstAttempt() {
        return waits.waitedMs("lookup", firstMs());
    }

    private long firstMs() {
        return LONGEST_MS - random.nextInt(375);
    }

    private void firstAttempts(final int count) {
        for (int request = 0; request < count; request++) {
            firstAttempt();
        }
    }

    @Test
    void aFirstAttemptHasNotWaited() {
        for (int request = 0; request < 2_000; request++) {
            assertEquals(0, firstAttempt());
        }
    }

    @Test
    void aCallerThatComesBackIsRecognised() {
        firstAttempts(100);
        assertEquals(700, waits.waitedMs("lookup", 1_600), 100);
    }

    @Test
    void isRecognisedWhileMostCallersComeBack() {
        firstAttempts(100);
        for (int request = 0; request < 2_000; request++) {
            boolean first = random.nextDouble() < 0.3;
            long waitedMs = waits.waitedMs("lookup", first ? firstMs() : 200 + random.nextInt(1_700));
            assertEquals(first, waitedMs == 0);
        }
    }

    @Test
    void aFewPatientCallersDoNotMakeAllOthersLate() {
        for (int request = 0; request < 1_000; request++) {
            assertEquals(0, waits.waitedMs("lookup", request % 20 == 0 ? 9_000 : firstMs()));
        }
    }

    @Test
    void anotherUsualTimeTakesOver() {
        firstAttempts(300);
        for (int request = 0; request < 300; request++) {
            waits.waitedMs("lookup", 1_000);
        }
        assertEquals(0, waits.waitedMs("lookup", 1_000));
        assertEquals(320, waits.waitedMs("lookup", 600));
    }

    @Test
    void nothingIsKnownOfARouteAtFirst() {
        assertEquals(0, waits.waitedMs("new", 2_500));
        assertEquals(0, waits.waitedMs("new", 100));
        assertThrows(NullPointerException.class, () -> waits.waitedMs(null, 1));
    }

    @Test
    void forgetsRoutesBeyondItsBound() {
        firstAttempts(100);
        for (int route = 0; route < 3_000; route++) {
            assertEquals(0, waits.waitedMs("r" + route, 100));
        }
        assertEquals(0, waits.waitedMs("lookup", 1_600));
    }
}
