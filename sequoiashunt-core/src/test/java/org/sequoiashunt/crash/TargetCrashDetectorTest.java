package org.sequoiashunt.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.crash.TargetCrashDetector.Crash;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

class TargetCrashDetectorTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final TargetCrashDetector detector = new TargetCrashDetector(clock);
    private final TargetAnnouncement target = target("t", 5);

    private static TargetAnnouncement target(final String name, final long startedAtMs) {
        return new TargetAnnouncement(name, new NodeAddress("127.0.0.1", 9), "desk", "v1", 4, false, startedAtMs, 1, 0);
    }

    @Test
    void refusedConnectionConfirmsTheCrashOfAllThatWereAtWork() {
        detector.recordLost(target, "a");
        clock.advance(5);
        detector.recordLost(target, "b");
        Crash crash = detector.recordUnreachable(target).orElseThrow();
        assertEquals(List.of("a", "b"), crash.fingerprints());
        assertEquals(Optional.empty(), detector.recordUnreachable(target), "a crash is reported once");
        Crash late = detector.recordLost(target, "c").orElseThrow();
        assertEquals(crash.incident(), late.incident());
        assertEquals(List.of("c"), late.fingerprints());
    }

    @Test
    void newIncarnationConfirmsTheCrash() {
        detector.recordLost(target, "a");
        clock.advance(2_500);
        assertEquals(Optional.empty(), detector.recordJoined(target), "the same incarnation");
        Crash first = detector.recordJoined(target("t", 6)).orElseThrow();
        detector.recordLost(target("t", 6), "a");
        assertNotEquals(
                first.incident(),
                detector.recordJoined(target("u", 7)).orElseThrow().incident());
    }

    /** Guards against refusing requests of a target that resets connections without crashing. */
    @Test
    void answerToALaterRequestShowsThatTheTargetRuns() {
        detector.recordLost(target, "a");
        detector.recordAnswer(target, clock.nowMs() - 50);
        clock.advance(10);
        detector.recordAnswer(target, clock.nowMs() - 5);
        assertTrue(detector.recordUnreachable(target).isEmpty());
    }

    @Test
    void connectionThatBrokeEarlierIsNotPartOfTheCrash() {
        detector.recordLost(target, "a");
        clock.advance(TargetCrashDetector.SAME_CRASH_MS + 1);
        detector.recordLost(target, "b");
        assertEquals(
                List.of("b"), detector.recordUnreachable(target).orElseThrow().fingerprints());
        clock.advance(TargetCrashDetector.CONFIRMATION_MS + 1);
        detector.recordLost(target, "c");
        clock.advance(TargetCrashDetector.CONFIRMATION_MS + 1);
        assertTrue(detector.recordUnreachable(target).isEmpty(), "too late");
    }
}
