package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sequoiashunt.time.SteppedClock;

class PlannedStopTest {

    private static final long SHUTDOWN_MS = 6_000;

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final PlannedStop stop = new PlannedStop(clock, SHUTDOWN_MS);

    /** Guards against a process that is killed with unanswered requests, because it waits for its callers. */
    @Test
    void lingerEndsBeforeTheForcedStop() {
        stop.begin();
        stop.refuseRequests();
        long lingerMs = stop.lingerMs();
        assertTrue(lingerMs > 0);
        clock.advance(SHUTDOWN_MS - lingerMs);
        assertTrue(stop.lingerMs() < lingerMs);
        clock.advance(lingerMs);
        assertEquals(0, stop.lingerMs());
    }

    /** Guards against requests that an unplanned end accepts and then cuts. */
    @Test
    void connectionsDoNotLingerWhileRequestsAreAccepted() {
        assertEquals(0, stop.lingerMs());
        stop.begin();
        assertTrue(stop.isDraining());
        assertFalse(stop.refusesRequests());
        assertEquals(0, stop.lingerMs());
        clock.advance(stop.requestsEndMs() - clock.nowMs());
        assertTrue(stop.refusesRequests());
    }
}
