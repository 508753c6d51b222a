package org.sequoiashunt.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

final class MembershipControllerTest {

    private static final EntryVersion FIRST = EntryVersion.of(1, 0);

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Blackboard blackboard = new Blackboard();
    private final List<ControlMessage> sent = new ArrayList<>();
    private final MembershipController membership = new MembershipController(
            identity(1),
            blackboard,
            clock,
            new SplittableRandom(1),
            (receiver, message) -> sent.add(message),
            MembershipSettings.defaults());

    @Test
    void memberThatDoesNotAnswerIsSuspectedAndThenGone() {
        member(2);
        run(1_200);
        assertEquals(ObservedMember.Presence.SUSPECTED, presence(2));
        run(3_000);
        assertEquals(ObservedMember.Presence.GONE, presence(2));
    }

    @Test
    void memberThatIsReachedThroughAnotherIsNotSuspected() {
        member(2);
        member(3);
        for (int step = 0; step < 50; step++) {
            run(100);
            sent.stream()
                    .filter(IndirectProbe.class::isInstance)
                    .map(IndirectProbe.class::cast)
                    .forEach(probe -> membership.receive("node-9", new ProbeAnswer(probe.number(), probe.member())));
            sent.clear();
        }
        assertEquals(List.of(), blackboard.entries(Section.SUSPICION));
    }

    @Test
    void answerOfAnotherNodeAtTheSameAddressDoesNotCount() {
        member(2);
        run(100);
        Probe probe = (Probe) sent.get(0);
        membership.receive("node-7", new ProbeAnswer(probe.number(), "node-7"));
        run(1_200);
        assertEquals(ObservedMember.Presence.SUSPECTED, presence(2));
    }

    @Test
    void higherVersionRefutesSuspicion() {
        member(2);
        run(1_200);
        blackboard.merge(Entry.of("node-2", "node-2", EntryVersion.of(1, 1), blackboardMember(2)));
        run(100);
        assertEquals(ObservedMember.Presence.ALIVE, presence(2));
        assertEquals(List.of(), blackboard.entries(Section.SUSPICION));
    }

    @Test
    void nodeThatWasPausedDropsItsPendingProbe() {
        member(2);
        run(100);
        clock.advance(10_000);
        membership.tick();
        assertEquals(List.of(), blackboard.entries(Section.SUSPICION));
    }

    @Test
    void nodeThatWasPausedRestartsSuspicionTimers() {
        member(2);
        blackboard.merge(Entry.of("node-2", "node-3", FIRST, new Suspicion("node-2")));
        run(100);
        clock.advance(10_000);
        membership.tick();
        run(2_500);
        assertEquals(ObservedMember.Presence.SUSPECTED, presence(2));
    }

    @Test
    void nodeThatWasPausedRaisesItsVersion() {
        EntryVersion before = membership.localMember().version();
        clock.advance(10_000);
        membership.tick();
        assertTrue(membership.localMember().version().isNewerThan(before));
    }

    @Test
    void probeIsAnsweredAndRelayed() {
        NodeAddress origin = identity(3).address();
        membership.receive("node-3", new Probe(7, origin));
        assertEquals(new ProbeAnswer(7, "node-1"), sent.get(0));
        membership.receive("node-3", new IndirectProbe(8, "node-2", identity(2).address(), origin));
        Probe relayed = (Probe) sent.get(1);
        membership.receive("node-2", new ProbeAnswer(relayed.number(), "node-2"));
        assertEquals(new ProbeAnswer(8, "node-2"), sent.get(2));
    }

    private void run(final long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += 100) {
            membership.tick();
            clock.advance(100);
        }
    }

    private ObservedMember.Presence presence(final int index) {
        return membership.view().find("node-" + index).orElseThrow().presence();
    }

    private void member(final int index) {
        blackboard.merge(Entry.of("node-" + index, "node-" + index, FIRST, blackboardMember(index)));
    }

    private static Member blackboardMember(final int index) {
        NodeIdentity other = identity(index);
        return new Member(
                other.node(),
                other.failureDomain(),
                other.region(),
                other.address(),
                MemberState.SERVING,
                List.of(),
                1);
    }

    private static NodeIdentity identity(final int index) {
        return new NodeIdentity("node-" + index, "balaju", "kathmandu", new NodeAddress("127.0.0.1", index));
    }
}
