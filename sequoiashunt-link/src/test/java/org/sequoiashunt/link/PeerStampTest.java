package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sequoiashunt.link.wire.FrameProto.Freshness;

/** Requests for new stamps, and the stamp age that is sent with a call. */
class PeerStampTest {

    private static final long START_MS = 50_000;

    private final PeerStamp stamp = new PeerStamp();

    @Test
    void anOldStampIsRequestedOnceUntilTheNextIsDue() {
        stamp.update(7, START_MS);
        assertFalse(stamp.requestIfDue(START_MS + PeerStamp.MAXIMUM_STAMP_AGE_MS - 1));
        assertTrue(stamp.requestIfDue(START_MS + PeerStamp.MAXIMUM_STAMP_AGE_MS));
        assertFalse(stamp.requestIfDue(START_MS + PeerStamp.MAXIMUM_STAMP_AGE_MS + 1));
        assertTrue(stamp.requestIfDue(START_MS + 2 * PeerStamp.MAXIMUM_STAMP_AGE_MS));
    }

    @Test
    void freshnessStatesTheAgeOfTheStamp() {
        stamp.update(7, START_MS);
        Freshness freshness = stamp.freshness(START_MS + 100, START_MS + 30);
        assertEquals(7, freshness.getStamp());
        assertEquals(30, freshness.getStampAgeMs());
        assertEquals(70, freshness.getRemainingMs());
    }
}
