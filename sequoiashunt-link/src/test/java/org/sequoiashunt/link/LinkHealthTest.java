package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.link.LinkHealth.LinkStatus;
import org.sequoiashunt.time.SteppedClock;

/** Pings to a quiet peer and detection of a silent one, under a simulated clock. */
class LinkHealthTest {

    private static final long TICK_MS = 25;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final LinkHealth health = new LinkHealth(LinkLimits.standard(), clock.nowMs());
    private int pings;

    @Test
    void detectsASilentPeerWithinASecondOfTheCall() {
        run(60_000, true, now -> false);
        clock.advance(TICK_MS);
        assertEquals(LinkStatus.HEALTHY, health.decide(clock.nowMs(), false));
        long startMs = clock.nowMs();
        assertEquals(LinkStatus.SILENT, run(2_000, false, now -> false));
        assertTrue(clock.nowMs() - startMs <= 800);
        assertTrue(pings >= 2);
    }

    @Test
    void anyReceivedBytesKeepTheLink() {
        assertEquals(LinkStatus.HEALTHY, run(60_000, false, now -> now % 700 == 0));
    }

    @Test
    void anIdleLinkIsNeitherPingedNorSilent() {
        assertEquals(LinkStatus.HEALTHY, run(600_000, true, now -> false));
        assertEquals(0, pings);
    }

    @Test
    void aMessageWithoutAResponseIsPinged() {
        health.markSent();
        assertEquals(LinkStatus.SILENT, run(2_000, true, now -> false));
    }

    /** At 95 nodes, pings of links that carry only reports were more messages than the reports. */
    @Test
    void aLinkThatCarriesOnlyReportsIsPingedHalfAsOften() {
        int reportPings = countPings(true);
        int callPings = countPings(false);
        assertTrue(callPings > 150, callPings + " pings of a link with calls");
        assertEquals(callPings / 2.0, reportPings, 20);
    }

    /** Counts the pings of a minute with a message in each tick, of which the peer answers the pings only. */
    private int countPings(final boolean idle) {
        int count = 0;
        boolean pinged = false;
        for (int tick = 0; tick < 60_000 / TICK_MS; tick++) {
            long nowMs = clock.advance(TICK_MS);
            if (pinged) {
                health.markReceived(nowMs);
            }
            health.markSent();
            pinged = health.decide(nowMs, !idle) == LinkStatus.PING;
            count += pinged ? 1 : 0;
        }
        return count;
    }

    @Test
    void aCallAfterQuietReportsGetsTheWholeSilenceTimeout() {
        health.markSent();
        assertEquals(LinkStatus.HEALTHY, run(900, true, now -> false));
        assertEquals(LinkStatus.HEALTHY, run(600, false, now -> false));
        assertEquals(LinkStatus.SILENT, run(300, false, now -> false));
    }

    @Test
    void aLocalPauseIsNotCountedAsPeerSilence() {
        run(500, false, now -> false);
        clock.advance(5_000);
        assertEquals(LinkStatus.HEALTHY, health.decide(clock.nowMs(), true));
        assertEquals(LinkStatus.SILENT, run(1_000, false, now -> false));
    }

    private LinkStatus run(final long durationMs, final boolean idle, final LongPredicate receives) {
        long endMs = clock.nowMs() + durationMs;
        LinkStatus verdict = LinkStatus.HEALTHY;
        while (verdict != LinkStatus.SILENT && clock.nowMs() < endMs) {
            long nowMs = clock.advance(TICK_MS);
            if (receives.test(nowMs)) {
                health.markReceived(nowMs);
            }
            verdict = health.decide(nowMs, !idle);
            pings += verdict == LinkStatus.PING ? 1 : 0;
        }
        return verdict == LinkStatus.SILENT ? verdict : LinkStatus.HEALTHY;
    }
}
