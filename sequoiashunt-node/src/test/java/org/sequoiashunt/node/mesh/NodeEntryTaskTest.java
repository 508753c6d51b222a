package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.mesh.ReadFreshness;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class NodeEntryTaskTest {

    /** Guards against a node that starting nodes no longer find, since the restored store has lost its entry. */
    @Test
    void entryIsWrittenAgainAfterARestore() throws Exception {
        SteppedClock clock = SteppedClock.of(1_000);
        FakePlatform platform = new FakePlatform();
        KnownNode self = new KnownNode("n-1", new NodeAddress("127.0.0.1", 7), "d");
        try (DecisionLog log =
                DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true))) {
            NodeEntryTask task =
                    new NodeEntryTask(platform, self, new FleetView(clock), new Random(7), new StoreHealth(clock, log));
            task.step();
            task.step();
            platform.restoreWithoutNodes();
            assertEquals(List.of(), platform.listNodes(ReadFreshness.LATEST));
            task.step();
            assertEquals(List.of(self), platform.listNodes(ReadFreshness.LATEST));
        }
    }
}
