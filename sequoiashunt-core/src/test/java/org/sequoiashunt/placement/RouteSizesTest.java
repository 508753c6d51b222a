package org.sequoiashunt.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RouteSizesTest {

    private final RouteSizes sizes = new RouteSizes();

    private void recordCalls(final String route, final long bytes) {
        for (int call = 0; call < 200; call++) {
            sizes.recordCall(route, bytes);
        }
    }

    @Test
    void routeWithoutCallsHasFactorOne() {
        assertEquals(1, sizes.trafficFactor("new"));
    }

    @Test
    void factorIsRelativeToReferenceCall() {
        recordCalls("lookup", 5_000);
        recordCalls("reserve", 400);
        assertEquals(1, sizes.trafficFactor("lookup"), 0.01);
        assertEquals(1_000 / 5_600.0, sizes.trafficFactor("reserve"), 0.01);
    }

    @Test
    void factorStaysWithinBounds() {
        recordCalls("empty", 0);
        recordCalls("archive", 10 << 20);
        assertTrue(sizes.trafficFactor("empty") >= 0.1);
        assertEquals(3, sizes.trafficFactor("archive"));
    }

    @Test
    void forgetsRoutesBeyondMaximum() {
        recordCalls("archive", 10 << 20);
        for (int route = 0; route < 2_000; route++) {
            sizes.recordCall("r" + route, 100);
        }
        assertEquals(1, sizes.trafficFactor("archive"));
    }
}
