package org.sequoiashunt.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.CrashRecord;
import org.sequoiashunt.time.SteppedClock;

class CrashTableTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final CrashTable table = new CrashTable(clock);

    private void crash(final int number, final String... fingerprints) {
        table.recordCrash(List.of(fingerprints), "t@" + number);
        clock.advance(1_000);
    }

    @Test
    void requestIsQuarantinedAfterItsThirdCrash() {
        assertTrue(table.isEmpty());
        crash(1, "culprit");
        crash(2, "culprit");
        crash(2, "culprit");
        assertEquals(0, table.quarantineLeftMs("culprit"), "the same crash counts once");
        crash(3, "culprit");
        assertEquals(0, table.quarantineLeftMs("culprit"), "it may be answered elsewhere");
        clock.advance(CrashTable.ANSWER_DELAY_MS);
        assertEquals(CrashTable.QUARANTINE_MS - 3_000, table.quarantineLeftMs("culprit"));
        assertEquals(0, table.quarantineLeftMs("other"));
    }

    /** Guards against refusing requests that happen to be at work at crashing targets. */
    @Test
    void answeredRequestIsNoSuspect() {
        crash(1, "culprit", "innocent");
        table.recordAnswer("innocent");
        crash(2, "culprit", "innocent");
        crash(3, "culprit", "innocent");
        clock.advance(CrashTable.ANSWER_DELAY_MS);
        assertEquals(0, table.quarantineLeftMs("innocent"));
        assertTrue(table.quarantineLeftMs("culprit") > 0);
    }

    /** Guards against refusing a frequent request when several targets that run it crash together. */
    @Test
    void requestAtWorkAtTargetsThatCrashTogetherIsAnsweredElsewhere() {
        CrashTable other = new CrashTable(clock);
        for (int target = 1; target <= 4; target++) {
            table.recordCrash(List.of("frequent"), "t@" + target);
        }
        other.merge(table.records());
        clock.advance(CrashTable.ANSWER_DELAY_MS / 2);
        other.recordAnswer("frequent");
        table.merge(other.records());
        clock.advance(CrashTable.ANSWER_DELAY_MS);
        assertEquals(0, table.quarantineLeftMs("frequent"));
        assertEquals(0, other.quarantineLeftMs("frequent"));
    }

    @Test
    void quarantineEndsAndGrowsWithFurtherCrashes() {
        IntStream.rangeClosed(1, 3).forEach(number -> crash(number, "culprit"));
        clock.advance(CrashTable.QUARANTINE_MS);
        assertEquals(0, table.quarantineLeftMs("culprit"), "it may run again");
        crash(4, "culprit");
        assertEquals(2 * CrashTable.QUARANTINE_MS - 1_000, table.quarantineLeftMs("culprit"));
        clock.advance(2 * CrashTable.QUARANTINE_MS);
        table.recordAnswer("culprit");
        crash(5, "culprit");
        assertEquals(0, table.quarantineLeftMs("culprit"), "the answer cleared it");
    }

    /** Guards against a request that crashes targets again at a node that has restarted, or is the next to get it. */
    @Test
    void otherNodesLearnOfCrashesAndQuarantines() {
        CrashTable other = new CrashTable(clock);
        CrashTable restarted = new CrashTable(clock);
        crash(1, "culprit");
        other.merge(table.records());
        other.recordCrash(List.of("culprit"), "t@2");
        table.merge(other.records());
        crash(3, "culprit");
        clock.advance(CrashTable.ANSWER_DELAY_MS);
        assertTrue(table.quarantineLeftMs("culprit") > 0);
        other.merge(table.records());
        assertTrue(other.quarantineLeftMs("culprit") > 0);
        clock.advance(CrashTable.REPORTING_MS + 1);
        restarted.merge(other.records());
        assertTrue(restarted.quarantineLeftMs("culprit") > 0, "a quarantine is passed on while it lasts");
    }

    @Test
    void suspectsAreForgottenAndBounded() {
        for (int number = 0; number < 3_000; number++) {
            table.recordCrash(List.of("f" + number), "t@" + number);
        }
        assertTrue(table.records().size() <= 64);
        clock.advance(CrashTable.SUSPECT_RETENTION_MS + 1);
        table.expire();
        assertTrue(table.isEmpty());
        table.merge(List.of(new CrashRecord("f", "", 0)));
        assertTrue(table.isEmpty(), "an answer alone makes no suspect");
    }
}
