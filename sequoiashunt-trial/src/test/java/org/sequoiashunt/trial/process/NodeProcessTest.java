package org.sequoiashunt.trial.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.trial.load.CallerLoad;
import org.sequoiashunt.trial.load.LoadSummary;

/** Faults of running nodes under load. The nodes are shared; each test leaves all of them serving. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class NodeProcessTest {

    private static final long DRAIN_BOUND_MS = 20_000;
    private static final long WARM_BOUND_MS = 10_000;
    private static final int WARM_REQUESTS = 200;

    private static NodeProcesses processes;

    @BeforeAll
    static void start() throws Exception {
        processes = NodeProcesses.start();
    }

    @AfterAll
    static void stop() throws Exception {
        if (processes != null) {
            processes.close();
        }
    }

    @Test
    @Order(1)
    void drainedNodeCutsNoRequest() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_REQUESTS);
        ChildProcess node = processes.deployment().node(NodeProcesses.VICTIM);
        node.terminate();
        assertEquals(0, node.awaitEnd(DRAIN_BOUND_MS));
        awaitAnswers(load, WARM_REQUESTS);
        LoadSummary summary = load.stop();
        processes.deployment().restartNode(NodeProcesses.VICTIM);
        processes.awaitServing();
        assertTrue(summary.isClean(), summary::toString);
        assertEquals(0, summary.cuts(), summary::toString);
    }

    /** Waits until as many more requests were answered. */
    private static void awaitAnswers(final CallerLoad load, final int more) throws Exception {
        long before = load.summary().answered();
        Conditions.await(
                more + " more answers", WARM_BOUND_MS, () -> load.summary().answered() >= before + more);
    }
}
