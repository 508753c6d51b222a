package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {

    @Test
    void refusesWhatExceedsTheLimit() {
        ByteBudget budget = new ByteBudget(10);
        assertTrue(budget.tryReserve(10));
        assertFalse(budget.tryReserve(1));
        budget.release(4);
        assertTrue(budget.tryReserve(4));
        assertEquals(10, budget.reservedBytes());
        assertThrows(IllegalArgumentException.class, () -> new ByteBudget(0));
    }

    /** Guards against more reserved bytes than the limit, seen by others while a reservation is refused. */
    @Test
    void reservedBytesNeverExceedTheLimitWhileReservationsAreRefused() throws InterruptedException {
        ByteBudget budget = new ByteBudget(10);
        assertTrue(budget.tryReserve(10));
        AtomicBoolean done = new AtomicBoolean();
        Thread refused = new Thread(() -> {
            while (!done.get()) {
                assertFalse(budget.tryReserve(1_000));
            }
        });
        refused.start();
        long largest = 0;
        for (int look = 0; look < 2_000_000; look++) {
            largest = Math.max(largest, budget.reservedBytes());
        }
        done.set(true);
        refused.join();
        assertEquals(10, largest);
    }
}
