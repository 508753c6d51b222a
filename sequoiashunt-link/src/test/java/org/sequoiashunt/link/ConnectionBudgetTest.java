package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Choice of the connections that are closed when the memory of all is exceeded. */
class ConnectionBudgetTest {

    private final ConnectionBudget budget = new ConnectionBudget(1_000_000);
    private final List<String> closed = new ArrayList<>();

    @Test
    void aConnectionThatHoldsMuchIsClosedBeforeOneThatHoldsLittle() {
        budget.update(holder("large"), 900_000, 0, 0);
        budget.update(holder("small"), 60_000, 0, 0);
        assertEquals(List.of(), closed);
        budget.update(holder("ordinary"), 120_000, 0, 0);
        assertEquals(List.of("large"), closed);
        assertEquals(180_000, budget.totalBytes());
    }

    @Test
    void aConnectionThatHoldsBytesForLongIsClosedBeforeOneThatReceivesALargeFrame() {
        List<ConnectionBudget.Holder> holders = new ArrayList<>();
        for (int count = 0; count < 16; count++) {
            holders.add(holder("slow"));
            budget.update(holders.get(count), 60_000, 0, 0);
        }
        budget.update(holder("ordinary"), 100_000, 995, 1_000);
        assertEquals(List.of("slow"), closed);
        assertEquals(1_000_000, budget.totalBytes());
    }

    @Test
    void bytesAreReleased() {
        ConnectionBudget.Holder holder = holder("large");
        budget.update(holder, 900_000, 0, 0);
        budget.update(holder, 0, 0, 0);
        budget.update(holder, 900_000, 0, 0);
        budget.remove(holder);
        assertEquals(0, budget.totalBytes());
        assertEquals(List.of(), closed);
    }

    private ConnectionBudget.Holder holder(final String name) {
        return () -> closed.add(name);
    }
}
