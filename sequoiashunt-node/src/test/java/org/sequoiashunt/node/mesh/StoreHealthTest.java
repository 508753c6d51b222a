package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

@Timeout(10)
class StoreHealthTest {

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final DecisionLog log =
            DecisionLog.start("n", clock, new PrintStream(output, true, StandardCharsets.UTF_8));
    private final StoreHealth health = new StoreHealth(clock, log);

    private List<String> lines() throws InterruptedException {
        log.close();
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void outageStartAndEndAreEachLoggedOnce() throws InterruptedException {
        health.recordSuccess();
        health.recordFailure("operator", "no answer");
        health.recordFailure("entry", "no answer");
        clock.advance(700);
        health.recordSuccess();
        health.recordSuccess();
        List<String> lines = lines();
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(lines.get(0).contains("\"change\":\"lost\",\"task\":\"operator\""), lines::toString);
        assertTrue(lines.get(1).contains("\"change\":\"regained\",\"afterMs\":700"), lines::toString);
    }

    /** A node that does not watch the operator's documents detects the end of an outage by renewing its entry. */
    @Test
    void entryRenewalAfterOutageLogsRecovery() throws Exception {
        FakePlatform platform = new FakePlatform();
        KnownNode self = new KnownNode("n", new NodeAddress("127.0.0.1", 1), "d");
        NodeEntryTask task = new NodeEntryTask(platform, self, new FleetView(clock), new Random(1), health);
        platform.setDown(true);
        task.step();
        platform.setDown(false);
        task.step();
        List<String> lines = lines();
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(lines.get(1).contains("regained"), lines::toString);
    }
}
