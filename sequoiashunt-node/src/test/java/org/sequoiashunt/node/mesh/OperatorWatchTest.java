package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.SteppedClock;

class OperatorWatchTest {

    /** Guards against a node that waits for changes from a revision that the restored store gives out again. */
    @Test
    void restoredStoreIsReadAgainAndItsOlderConfigurationNotPutInForce() throws Exception {
        SteppedClock clock = SteppedClock.of(1_000);
        FakePlatform platform = new FakePlatform();
        platform.commit(5);
        List<DesiredState> states = new ArrayList<>();
        NodeLocation location = new NodeLocation("n-1", new NodeAddress("127.0.0.1", 7), "d", "r");
        try (DecisionLog log =
                DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true))) {
            ActiveConfiguration configuration = new ActiveConfiguration(platform, log);
            OperatorWatch watch = new OperatorWatch(
                    new WatcherSelection(location, 600, new FleetView(clock), configuration::version, clock),
                    platform,
                    clock,
                    new Random(7),
                    state -> {
                        states.add(state);
                        state.configuration().ifPresent(document -> configuration.activateIfNewer(document, "store"));
                    },
                    new StoreHealth(clock, log));
            watch.step();
            platform.commit(4);
            platform.restoreWithoutNodes();
            watch.step();
            watch.step();
            assertEquals(2, states.size(), "the complete state is read again");
            assertEquals(5, configuration.version());
            platform.commit(6);
            watch.step();
            assertEquals(6, configuration.version());
        }
    }
}
