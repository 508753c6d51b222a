package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.fleet.DepartureNotice;
import org.sequoiashunt.fleet.DepartureReceipt;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.GateObserver;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetDeparture;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.SteppedClock;

/** An acknowledged departure binds later processes of the node, whether the store or a peer keeps it. */
@Timeout(10)
class DepartureRecorderTest {

    private static final TargetDeparture DEPARTURE = new TargetDeparture("t-1", OptionalLong.of(5));

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final FleetView fleet = new FleetView(clock);
    private final FakePlatform platform = new FakePlatform();
    private final List<ControlMessage> sent = new ArrayList<>();
    private final List<Runnable> delayedTasks = new ArrayList<>();
    private final DecisionLog log =
            DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private final TargetRegistry registry = new TargetRegistry(clock, 1_500);
    private final DepartureRecorder recorder = open("n-1", registry);

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private DepartureRecorder open(final String node, final TargetRegistry targets) {
        SlotGates gates = new SlotGates(
                targets, new SlotGate.Dependencies(clock, (address, request) -> null, GateObserver.NO_OP));
        return new DepartureRecorder(new DepartureRecorder.Dependencies(
                new NodeLocation(node, new NodeAddress("127.0.0.1", 7), "d", "r"),
                fleet,
                (receiver, message) -> sent.add(message),
                platform,
                targets,
                gates,
                clock,
                (delayMs, task) -> {
                    delayedTasks.add(task);
                    return () -> delayedTasks.remove(task);
                },
                new StoreHealth(clock, log),
                () -> {}));
    }

    private static NodeReport report(final String node) {
        return new NodeReport(
                node,
                1,
                1,
                new NodeAddress("127.0.0.1", 9),
                "d",
                "r",
                600,
                false,
                1,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false);
    }

    private static TargetAnnouncement lateAnnouncement() {
        return new TargetAnnouncement("t-1", new NodeAddress("127.0.0.1", 8), "desk", "v1", 4, false, 5, 9, 0);
    }

    /** Runs a step in another thread, since it waits for departures once all are recorded. */
    private void step() throws InterruptedException {
        Thread thread = new Thread(recorder::step);
        thread.start();
        thread.join(300);
        thread.interrupt();
        thread.join();
    }

    @Test
    void departureIsAcknowledgedOnceTheStoreHoldsIt() throws Exception {
        CompletableFuture<Boolean> answer = recorder.record(DEPARTURE);
        assertFalse(answer.isDone());
        step();
        assertTrue(answer.get(1, TimeUnit.SECONDS));
        assertEquals(List.of(DEPARTURE), platform.readDepartures("n-1"));
        assertTrue(recorder.record(DEPARTURE).getNow(false), "no second record");
    }

    /** Guards against requests to a target that left: a late announcement arrives after its node has restarted. */
    @Test
    void laterProcessIsBoundByTheStore() throws Exception {
        recorder.record(DEPARTURE);
        step();
        TargetRegistry restarted = new TargetRegistry(clock, 1_500);
        restarted.announce(lateAnnouncement());
        Thread thread = new Thread(open("n-1", restarted)::step);
        thread.start();
        thread.join(300);
        thread.interrupt();
        thread.join();
        assertEquals(TargetRegistry.Change.OUTDATED, restarted.announce(lateAnnouncement()));
        assertEquals(List.of(), restarted.acceptingTargets());
    }

    /** Guards against the same if the store was restored in between and has lost the acknowledged departure. */
    @Test
    void acknowledgedDepartureIsRecordedAgainAfterARestore() throws Exception {
        recorder.record(DEPARTURE);
        step();
        platform.restoreWithoutNodes();
        assertEquals(List.of(), platform.readDepartures("n-1"));
        step();
        assertEquals(List.of(DEPARTURE), platform.readDepartures("n-1"));
        assertTrue(recorder.record(DEPARTURE).getNow(false));
        step();
        assertEquals(List.of(DEPARTURE), platform.readDepartures("n-1"), "recorded once");
    }

    /** Guards against one read of the store for each start when many nodes and their targets start together. */
    @Test
    void storeIsReadOnlyOnceATargetIsHeld() throws Exception {
        registry.announce(
                new TargetAnnouncement("t-2", new NodeAddress("127.0.0.1", 6), "desk", "v1", 4, false, 5, 1, 0));
        step();
        assertEquals(0, platform.departureReads());
        registry.announce(lateAnnouncement());
        step();
        step();
        assertEquals(1, platform.departureReads());
        assertEquals(2, registry.acceptingTargets().size(), "nothing shows that the held target left");
    }

    @Test
    void peersSufficeWhileTheStoreIsDown() throws Exception {
        platform.setDown(true);
        fleet.accept(report("n-2"));
        CompletableFuture<Boolean> answer = recorder.record(DEPARTURE);
        assertEquals(
                List.of(new DepartureNotice("n-1", List.of(DEPARTURE), Optional.of(new NodeAddress("127.0.0.1", 7)))),
                sent);
        step();
        recorder.receive("n-2", new DepartureReceipt(List.of(DEPARTURE)));
        assertFalse(answer.isDone(), "the store may still answer");
        List.copyOf(delayedTasks).get(0).run();
        assertTrue(answer.get(1, TimeUnit.SECONDS));
        platform.setDown(false);
        step();
        assertEquals(List.of(DEPARTURE), platform.readDepartures("n-1"), "recorded once the store is back");
    }

    @Test
    void departureThatNobodyHoldsIsNotAcknowledged() throws Exception {
        platform.setDown(true);
        CompletableFuture<Boolean> answer = recorder.record(DEPARTURE);
        step();
        List.copyOf(delayedTasks).forEach(Runnable::run);
        assertFalse(answer.get(1, TimeUnit.SECONDS));
    }

    /** Guards against the same while the store is down after the restart: a peer sends the departure back. */
    @Test
    void peerReturnsDeparturesToARestartedNode() {
        TargetRegistry other = new TargetRegistry(clock, 1_500);
        DepartureRecorder peer = open("n-2", other);
        peer.receive(
                "n-1", new DepartureNotice("n-1", List.of(DEPARTURE), Optional.of(new NodeAddress("127.0.0.1", 7))));
        assertEquals(new DepartureReceipt(List.of(DEPARTURE)), sent.get(0));
        peer.peerFound(report("n-1"));
        recorder.receive("n-2", sent.get(1));
        assertEquals(TargetRegistry.Change.OUTDATED, registry.announce(lateAnnouncement()));
    }

    /** Guards against the worst order: acknowledged, lost in a restore, and the node restarts before it notices. */
    @Test
    void departureThatOnlyAPeerHoldsIsRecordedAgainByTheNextProcess() throws Exception {
        registry.announce(lateAnnouncement());
        step();
        assertEquals(1, registry.acceptingTargets().size(), "the store has lost the departure");
        recorder.receive("n-2", new DepartureNotice("n-1", List.of(DEPARTURE), Optional.empty()));
        assertEquals(List.of(), registry.acceptingTargets());
        step();
        assertEquals(List.of(DEPARTURE), platform.readDepartures("n-1"));
    }

    @Test
    void unconfirmedDepartureIsSentToOtherPeers() {
        platform.setDown(true);
        recorder.record(DEPARTURE);
        assertEquals(0, sent.size());
        fleet.accept(report("n-2"));
        clock.advance(300);
        recorder.tick();
        assertEquals(1, sent.size());
    }
}
