package org.sequoiashunt.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.configuration.ConfigurationController;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.membership.JoinAnswer;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.MembershipController;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.memory.SimulatedPlatform;
import org.sequoiashunt.memory.SimulatedStore;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.time.SteppedClock;

final class ReadinessControllerTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final NodeIdentity identity = identity(1);
    private final Blackboard blackboard = new Blackboard();
    private final List<ControlMessage> sent = new ArrayList<>();
    private final PeerSender sender = (receiver, message) -> sent.add(message);
    private final MembershipController membership = new MembershipController(
            identity, blackboard, clock, new SplittableRandom(1), sender, MembershipSettings.defaults());
    private final ConfigurationController configuration = new ConfigurationController(blackboard, snapshot -> {});
    private final SimulatedPlatform platform = new SimulatedPlatform(new SimulatedStore(clock));
    private final ConfigurationWatcher watcher =
            new ConfigurationWatcher(platform, blackboard, clock, () -> true, new SplittableRandom(2));
    private final ReadinessController readiness = new ReadinessController(
            identity, membership, configuration, watcher, new Contacts(), clock, new SplittableRandom(3), sender);

    @Test
    void nodeWithoutStoreAndPeersStaysNotReady() {
        addHead(1);
        run(120_000);
        assertFalse(readiness.isReady());
        assertEquals(MemberState.JOINING, membership.localMember().member().state());
    }

    @Test
    void oneReadyAnswerIsNotEnoughAmongSeveralPeers() {
        addHead(1);
        addMember(2);
        addMember(3);
        readiness.receive("node-2", new JoinAnswer(true, false, 1));
        run(1_000);
        assertFalse(readiness.isReady());
        readiness.receive("node-3", new JoinAnswer(true, false, 1));
        run(1_000);
        assertTrue(readiness.isReady());
        assertEquals(MemberState.SERVING, membership.localMember().member().state());
    }

    @Test
    void answersOfNodesThatAreNotReadyDoNotCount() {
        addHead(1);
        addMember(2);
        addMember(3);
        readiness.receive("node-2", new JoinAnswer(false, false, 1));
        readiness.receive("node-3", new JoinAnswer(false, true, 1));
        run(1_000);
        assertFalse(readiness.isReady());
    }

    @Test
    void waitsForHighestVersionOfAnyPeer() {
        addHead(1);
        addMember(2);
        addMember(3);
        readiness.receive("node-2", new JoinAnswer(true, false, 1));
        readiness.receive("node-3", new JoinAnswer(true, false, 2));
        run(1_000);
        assertFalse(readiness.isReady());
        addHead(2);
        run(1_000);
        assertTrue(readiness.isReady());
    }

    @Test
    void oneReadyPeerWithRecentStoreReadIsEnough() {
        addHead(1);
        addMember(2);
        addMember(3);
        readiness.receive("node-2", new JoinAnswer(true, true, 1));
        run(1_000);
        assertTrue(readiness.isReady());
    }

    @Test
    void localStoreReadIsEnough() {
        platform.commit(configurationHead(4), new TreeMap<>());
        watcher.step();
        run(1_000);
        assertTrue(readiness.isReady());
        assertEquals(4, configuration.versionInForce());
    }

    @Test
    void refusedStoreVersionDoesNotConfirm() {
        addHead(1);
        TreeMap<String, String> parts = new TreeMap<>(Map.of("desk", "missing"));
        platform.commit(new ConfigurationHead(2, "commit", parts, new TreeMap<>()), new TreeMap<>());
        watcher.step();
        run(1_000);
        assertFalse(readiness.isReady());
    }

    private void run(final long durationMs) {
        long untilMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < untilMs) {
            clock.advance(100);
            membership.tick();
            configuration.tick();
            readiness.tick();
        }
    }

    private void addMember(final int index) {
        NodeIdentity other = identity(index);
        Member member = new Member(
                other.node(),
                other.failureDomain(),
                other.region(),
                other.address(),
                MemberState.SERVING,
                List.of(),
                1);
        blackboard.merge(Entry.of(other.node(), other.node(), EntryVersion.of(1, 0), member));
    }

    private void addHead(final long version) {
        EntryVersion entryVersion = EntryVersion.of(version, 0);
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "store", entryVersion, configurationHead(version)));
    }

    private static ConfigurationHead configurationHead(final long version) {
        return new ConfigurationHead(version, "commit", new TreeMap<>(), new TreeMap<>());
    }

    private static NodeIdentity identity(final int index) {
        return new NodeIdentity("node-" + index, "balaju", "kathmandu", new NodeAddress("127.0.0.1", index));
    }
}
