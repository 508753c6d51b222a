package org.sequoiashunt.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

final class LocalMemberTest {

    private final Blackboard blackboard = new Blackboard();
    private final NodeIdentity identity =
            new NodeIdentity("node-1", "balaju", "kathmandu", new NodeAddress("127.0.0.1", 1));
    private final LocalMember localMember = LocalMember.of(identity, blackboard, SteppedClock.of(5_000));

    @Test
    void changeRaisesTheSequence() {
        localMember.update(member -> member.withState(MemberState.SERVING));
        assertEquals(EntryVersion.of(5_000, 1), localMember.version());
        localMember.update(member -> member.withState(MemberState.SERVING));
        assertEquals(EntryVersion.of(5_000, 1), localMember.version());
    }

    @Test
    void unpublishedUpdateIsPublishedWithTheNextChangeOnly() {
        localMember.updateWithoutPublishing(member -> member.withConfigurationVersion(7));
        assertFalse(localMember.supersedeOthersStatements());
        assertEquals(0, published().configurationVersion());
        localMember.update(member -> member.withState(MemberState.SERVING));
        assertEquals(7, published().configurationVersion());
    }

    @Test
    void entryOfEarlierProcessWithHigherClockIsOutranked() {
        Member stale = localMember.member().withState(MemberState.LEFT);
        blackboard.merge(Entry.of("node-1", "node-1", EntryVersion.of(9_000, 4), stale));
        assertTrue(localMember.supersedeOthersStatements());
        assertEquals(EntryVersion.of(9_001, 0), localMember.version());
        assertEquals(MemberState.JOINING, published().state());
        assertFalse(localMember.supersedeOthersStatements());
    }

    @Test
    void suspicionIsRefuted() {
        blackboard.merge(Entry.of("node-1", "node-2", localMember.version(), new Suspicion("node-1")));
        assertTrue(localMember.supersedeOthersStatements());
        assertEquals(EntryVersion.of(5_000, 1), localMember.version());
        assertFalse(localMember.supersedeOthersStatements());
    }

    @Test
    void departureOfLaterIncarnationIsRefutedUnlessTheNodeLeft() {
        blackboard.merge(Entry.of("node-1", "node-2", EntryVersion.of(6_000, 3), new Departure("node-1", 1)));
        assertTrue(localMember.supersedeOthersStatements());
        assertEquals(EntryVersion.of(6_001, 0), localMember.version());
        localMember.update(member -> member.withState(MemberState.LEFT));
        blackboard.merge(Entry.of("node-1", "node-2", localMember.version(), new Departure("node-1", 2)));
        assertFalse(localMember.supersedeOthersStatements());
    }

    @Test
    void viewPutsServingMembersFirstInLeadOrder() {
        Member serving = new Member(
                "node-2",
                "balaju",
                "kathmandu",
                new NodeAddress("127.0.0.1", 2),
                MemberState.SERVING,
                List.of(new ServedTarget("desk", "sorting-desk", "v1", 10, MemberState.DRAINING)),
                1);
        MembershipView view = MembershipView.of(List.of(
                new ObservedMember(localMember.member(), localMember.version(), ObservedMember.Presence.ALIVE),
                new ObservedMember(serving, EntryVersion.of(1, 0), ObservedMember.Presence.ALIVE)));
        assertEquals("node-2", view.lead("balaju").orElseThrow().node());
        assertEquals(List.of(), view.servingTargets("sorting-desk"));
        assertEquals(List.of(serving), view.membersWithTargetOf("sorting-desk"));
    }

    private Member published() {
        EntryKey key = EntryKey.of(Section.MEMBER, "node-1");
        return (Member) blackboard.find(key).orElseThrow().value();
    }
}
