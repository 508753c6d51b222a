package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Detection of incomplete frames that arrive too slowly, and the limit of their memory. */
class PartialFrameMonitorTest {

    private static final long FRAME_TIMEOUT_MS = 10_000;

    private final PartialFrameMonitor partialFrameMonitor = new PartialFrameMonitor(FRAME_TIMEOUT_MS, 0);

    @Test
    void aSlowFrameIsStalledAtTheTimeout() {
        for (long nowMs = 0; nowMs <= FRAME_TIMEOUT_MS; nowMs += 100) {
            partialFrameMonitor.bytesRead(1, 1, nowMs);
            assertFalse(partialFrameMonitor.isStalled(nowMs));
        }
        assertTrue(partialFrameMonitor.isStalled(FRAME_TIMEOUT_MS + 1));
    }

    @Test
    void completeFramesNeverStall() {
        partialFrameMonitor.bytesRead(30, 30, 0);
        partialFrameMonitor.frameRead(20, 0);
        partialFrameMonitor.frameRead(10, 0);
        assertFalse(partialFrameMonitor.isStalled(10 * FRAME_TIMEOUT_MS));
    }

    @Test
    void aBufferIsHeldWhileAPartOfItIsPending() {
        partialFrameMonitor.bytesRead(30, 65_536, 0);
        partialFrameMonitor.frameRead(29, 0);
        assertEquals(65_536, partialFrameMonitor.heldBytes());
        partialFrameMonitor.frameRead(1, 0);
        assertEquals(0, partialFrameMonitor.heldBytes());
    }
}
