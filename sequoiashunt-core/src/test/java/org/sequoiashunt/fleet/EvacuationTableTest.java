package org.sequoiashunt.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.store.StoreRevision;
import org.sequoiashunt.time.SteppedClock;

class EvacuationTableTest {

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final EvacuationTable table = new EvacuationTable(clock);

    private static Evacuation order(final String domain, final long revision) {
        return new Evacuation(domain, revision, true);
    }

    private static Evacuation revocation(final String domain, final long revision) {
        return new Evacuation(domain, revision, false);
    }

    /** Guards against nodes that differ because reports reached them in another order or more than once. */
    @Test
    void crossingAndRepeatedReportsGiveTheSameState() {
        List<Evacuation> reports = new ArrayList<>(List.of(
                order("a", 3), revocation("a", 5), order("a", 7), order("b", 4), revocation("b", 6), order("b", 4)));
        Random random = new Random(11);
        for (int round = 0; round < 200; round++) {
            EvacuationTable other = new EvacuationTable(clock);
            Collections.shuffle(reports, random);
            reports.forEach(other::merge);
            assertEquals(List.of(order("a", 7), revocation("b", 6)), other.reported());
            assertFalse(other.merge(reports.get(0)));
        }
    }

    @Test
    void completeListRevokesWhatItNoLongerHasUpToItsRevision() {
        assertFalse(table.isKnown());
        table.merge(order("a", 3));
        table.merge(order("b", 9));
        assertTrue(table.mergeComplete(List.of(order("c", 2)), 8));
        assertTrue(table.isKnown());
        assertFalse(table.isEvacuated("a"));
        assertTrue(table.isEvacuated("b"), "ordered after the list was read");
        assertTrue(table.isEvacuated("c"));
        table.merge(order("a", 3));
        assertFalse(table.isEvacuated("a"), "an old report does not restore the order");
    }

    /** Guards against a node that was cut off during the revocation and brings the order back when it returns. */
    @Test
    void revocationIsReportedAgainToANodeThatStillHasTheOrder() {
        table.merge(revocation("a", 5));
        clock.advance(EvacuationTable.REVOCATION_REPORT_MS);
        assertEquals(List.of(), table.reported());
        assertFalse(table.merge(order("a", 3)));
        assertEquals(List.of(revocation("a", 5)), table.reported());
    }

    @Test
    void memoryIsBoundedAndOrdersInForceAreKept() {
        table.merge(order("kept", 1));
        for (int domain = 0; domain < 1_000; domain++) {
            table.merge(revocation("d" + domain, 10 + domain));
        }
        assertEquals(EvacuationTable.MAXIMUM_ENTRIES, table.reported().size());
        assertTrue(table.isEvacuated("kept"));
    }

    /** Guards against calls to an evacuated domain while the store lacks the order that it had acknowledged. */
    @Test
    void orderLostInARestoreHoldsUntilItIsWrittenAgainOrTheTimeHasPassed() {
        table.merge(order("again", 7));
        table.merge(order("given-up", 8));
        assertFalse(table.mergeComplete(List.of(), StoreRevision.of(1, 6)), "the copy lacks both");
        clock.advance(EvacuationTable.LOST_ORDER_MS - 1);
        table.merge(order("again", StoreRevision.of(1, 9)));
        assertFalse(table.mergeComplete(List.of(order("again", StoreRevision.of(1, 9))), StoreRevision.of(1, 9)));
        assertEquals(List.of(), table.revokeLostOrders());
        assertTrue(table.isEvacuated("given-up"));
        clock.advance(1);
        assertEquals(List.of(revocation("given-up", StoreRevision.of(1, 6))), table.revokeLostOrders());
        assertFalse(table.isEvacuated("given-up"));
        assertTrue(table.isEvacuated("again"));
        assertTrue(table.mergeComplete(List.of(), StoreRevision.of(1, 11)), "revoked within the era");
        assertFalse(table.isEvacuated("again"));
    }
}
