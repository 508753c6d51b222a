package org.sequoiashunt.trial.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.trial.load.CallerLoad;
import org.sequoiashunt.trial.load.LoadSummary;
import org.sequoiashunt.trial.process.Deployment.OperatorRun;
import org.sequoiashunt.trial.target.FakeTarget;

/** Tests faults of running nodes under load. All tests share the nodes, and each leaves all nodes serving. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class NodeProcessTest {

    private static final long DRAIN_BOUND_MS = 20_000;
    private static final long WITHDRAWAL_BOUND_MS = 3_000;
    private static final long RESTART_BOUND_MS = 20_000;
    private static final long FREEZE_MS = 8_000;
    private static final long OUTAGE_MS = 10_000;
    private static final long ANSWER_BOUND_MS = 10_000;
    private static final int WARM_UP_REQUESTS = 200;

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

    @AfterEach
    void recover() throws Exception {
        processes.recover();
    }

    @Test
    @Order(1)
    void terminatedNodeDrainsWithoutCuttingRequests() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_UP_REQUESTS);
        ChildProcess node = processes.deployment().node(NodeProcesses.FAULTED_NODE);
        node.terminate();
        assertEquals(0, node.awaitEnd(DRAIN_BOUND_MS));
        awaitAnswers(load, WARM_UP_REQUESTS);
        LoadSummary summary = stop(load);
        assertTrue(Files.readString(node.output()).contains("complete=true"));
        assertTrue(summary.isClean(), summary::toString);
        assertEquals(0, summary.cuts(), summary::toString);
    }

    @Test
    @Order(2)
    void withdrawnTargetGetsNoNewRequest() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_UP_REQUESTS);
        FakeTarget withdrawnTarget = processes.target();
        assertTrue(withdrawnTarget.runs() > 0);
        withdrawnTarget.withdraw();
        awaitTime(WITHDRAWAL_BOUND_MS);
        long runs = withdrawnTarget.runs();
        awaitAnswers(load, WARM_UP_REQUESTS);
        LoadSummary summary = stop(load);
        processes.startTarget();
        assertEquals(runs, withdrawnTarget.runs());
        assertTrue(summary.isClean(), summary::toString);
        assertEquals(0, summary.resends(), summary::toString);
    }

    @Test
    @Order(3)
    void killedNodeServesAfterRestart() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_UP_REQUESTS);
        ChildProcess node = processes.deployment().node(NodeProcesses.FAULTED_NODE);
        node.kill();
        node.awaitEnd(DRAIN_BOUND_MS);
        long version = processes.commitAndAwaitInForce();
        processes.deployment().restartNode(NodeProcesses.FAULTED_NODE);
        Set<Long> seen = awaitVersion(version);
        processes.awaitFaultedNodeServing();
        LoadSummary summary = stop(load);
        assertTrue(Set.of(0L, version).containsAll(seen), seen::toString);
        assertSafe(summary);
    }

    @Test
    @Order(4)
    void frozenNodeServesAfterResume() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_UP_REQUESTS);
        ChildProcess node = processes.deployment().node(NodeProcesses.FAULTED_NODE);
        long start = System.nanoTime();
        node.signal("STOP");
        processes.commitOrThrow();
        awaitTime(FREEZE_MS - elapsedMs(start));
        node.signal("CONT");
        processes.awaitInForce();
        processes.awaitFaultedNodeServing();
        assertSafe(stop(load));
    }

    @Test
    @Order(5)
    void nodesServeDuringStoreOutage() throws Exception {
        CallerLoad load = processes.startLoad();
        awaitAnswers(load, WARM_UP_REQUESTS);
        long start = System.nanoTime();
        processes.deployment().store().faults().setDown(true);
        OperatorRun refused = processes.commit();
        awaitTime(OUTAGE_MS - elapsedMs(start));
        awaitAnswers(load, WARM_UP_REQUESTS);
        processes.deployment().store().faults().setDown(false);
        LoadSummary summary = stop(load);
        assertTrue(Set.of(3, 5).contains(refused.exitCode()), refused::toString);
        assertTrue(summary.isClean(), summary::toString);
        processes.commitAndAwaitInForce();
    }

    private static void assertSafe(final LoadSummary summary) {
        assertTrue(summary.isSafe(), summary::toString);
        assertEquals(0, summary.lostLookups(), summary::toString);
        assertEquals(0, summary.notRun(), summary::toString);
    }

    private static LoadSummary stop(final CallerLoad load) throws Exception {
        LoadSummary summary = load.stop();
        System.out.println("callers: " + summary);
        System.out.print(processes.unansweredCallReasons());
        return summary;
    }

    /** Waits for a version on the restarted node and returns all versions that it reported until then. */
    private static Set<Long> awaitVersion(final long version) throws Exception {
        Set<Long> seen = new TreeSet<>();
        Conditions.await("version " + version + " at the restarted node", RESTART_BOUND_MS, () -> {
            long stated = processes.versionInForce(NodeProcesses.FAULTED_NODE);
            seen.add(stated);
            return stated == version;
        });
        return seen;
    }

    private static long elapsedMs(final long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Waits for a duration while the load continues. */
    private static void awaitTime(final long timeMs) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
        Conditions.await("end of a period", timeMs + ANSWER_BOUND_MS, () -> System.nanoTime() >= endNanos);
    }

    /** Waits until the given number of additional requests is answered. */
    private static void awaitAnswers(final CallerLoad load, final int additionalAnswers) throws Exception {
        long before = load.summary().answered();
        Conditions.await(
                additionalAnswers + " more answers",
                ANSWER_BOUND_MS,
                () -> load.summary().answered() >= before + additionalAnswers);
    }
}
