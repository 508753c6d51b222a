package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StatedLoadTest {

    @Test
    void readsThreeOrFourFigures() {
        assertEquals(Optional.of(new StatedLoad(3, 0, 8, 120)), StatedLoad.parse("3,0,8,120"));
        assertEquals(Optional.of(new StatedLoad(3, 0, 8, 0)), StatedLoad.parse(" 3, 0 ,8"));
    }

    /** Guards against a malformed figure that decides where calls go, or ends the exchange with an exception. */
    @Test
    void ignoresWhatIsMalformed() {
        String[] malformed = {
            "",
            ",",
            "3,0",
            "3,0,8,120,1",
            "3,0,8,",
            "3,,8",
            "a,0,8",
            "-3,0,8",
            "3.5,0,8",
            "3,0,9999999",
            "3,0,8,1e9",
            "\u0663,0,8",
            "3,0,8,120                                 "
        };
        for (String text : malformed) {
            assertTrue(StatedLoad.parse(text).isEmpty(), text);
        }
        assertTrue(StatedLoad.parse(null).isEmpty());
    }

    /** Guards against a single reading, or an old one, that stands for the pace of the next second. */
    @Test
    void paceIsSmoothedAndLosesWeightWithItsAge() {
        TargetPace pace = new TargetPace();
        assertEquals(0, pace.reportedPercent(0), "nothing was read");
        for (long nowMs = 0; nowMs < 1_000; nowMs += 10) {
            pace.record(nowMs % 20 == 0 ? 60 : 140, nowMs);
            assertTrue(nowMs < 500 || Math.abs(pace.reportedPercent(nowMs) - 100) <= 8, "at " + nowMs);
        }
        for (long nowMs = 1_000; nowMs < 1_400; nowMs += 10) {
            pace.record(250, nowMs);
        }
        assertEquals(250, pace.reportedPercent(1_400), 10);
        assertEquals(155, pace.reportedPercent(2_000), 10);
        assertEquals(0, pace.reportedPercent(4_000));
        pace.record(0, 4_001);
        assertEquals(0, pace.reportedPercent(4_001), "a reading without a pace");
        pace.record(999_999, 5_000);
        assertTrue(pace.reportedPercent(5_000) <= TargetPace.MAXIMUM_PERCENT);
    }
}
