package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.link.wire.FrameProto.CallStart;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Freshness;
import org.sequoiashunt.time.SteppedClock;

/** Guards against running calls that waited in buffers while this process was frozen. */
class PauseTest {

    private static final LinkLimits LIMITS = LinkLimits.standard();

    @Test
    void aGapBetweenTwoChecksIsAPause() {
        PauseDetector pauseDetector = new PauseDetector(LIMITS.maximumFrameAgeMs(), 0);
        assertFalse(pauseDetector.check(LIMITS.maximumFrameAgeMs()));
        assertTrue(pauseDetector.check(2 * LIMITS.maximumFrameAgeMs() + 1));
        assertFalse(pauseDetector.check(2 * LIMITS.maximumFrameAgeMs() + 2));
    }

    @Test
    void aServerThatWasPausedClosesItsConnectionsUnread() throws Exception {
        SteppedClock clock = SteppedClock.of(1_000_000);
        try (LinkFixture fixture = new LinkFixture(LIMITS, clock)) {
            fixture.warmUp();
            try (RawPeer peer = RawPeer.connect(fixture.address())) {
                peer.write(FrameFactory.hello(new LinkIdentity("peer", 1), 0));
                Frame hello = peer.read();
                clock.advance(LIMITS.maximumFrameAgeMs() + 1);
                Freshness freshness = Freshness.newBuilder()
                        .setStamp(hello.getHello().getStamp())
                        .setStampAgeMs(LIMITS.maximumFrameAgeMs())
                        .setRemainingMs(60_000)
                        .build();
                writeUnlessClosed(peer, CallCodec.encode(1, LinkFixture.request("call", 60_000), freshness));
                assertTrue(peer.isClosedByPeer());
            }
            assertTrue(fixture.serverCounters.read(Refusal.PAUSED) > 0);
            assertEquals(0, fixture.handler.runs.size());
        }
    }

    /** Writes a call. The server may detect the pause and close the connection before the call is written. */
    private static void writeUnlessClosed(final RawPeer peer, final CallStart start) {
        try {
            peer.write(FrameFactory.of(start));
        } catch (IOException exception) {
            assertTrue(peer.isClosedByPeer());
        }
    }
}
