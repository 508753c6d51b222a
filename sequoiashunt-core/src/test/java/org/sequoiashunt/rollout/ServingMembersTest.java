package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class ServingMembersTest {

    private final SteppedClock clock = SteppedClock.of(10_000);
    private final AtomicReference<MembershipView> view = new AtomicReference<>();
    private final ServingMembers servingMembers = ServingMembers.of(view::get, clock);

    @Test
    void goneNodeDoesNotServe() {
        Member first = member("first");
        Member second = member("second");
        view.set(view(first, ObservedMember.Presence.ALIVE, second));
        assertEquals(2, servingMembers.nodes("desk").size());
        view.set(view(first, ObservedMember.Presence.GONE, second));
        clock.advance(1_000);
        assertEquals(List.of("second"), names());
    }

    @Test
    void suspectedNodeStillServes() {
        view.set(view(member("first"), ObservedMember.Presence.SUSPECTED, member("second")));
        assertEquals(List.of("first", "second"), names());
    }

    private List<String> names() {
        return servingMembers.nodes("desk").stream()
                .map(ServingMembers.ServingNode::node)
                .toList();
    }

    private static MembershipView view(
            final Member first, final ObservedMember.Presence presence, final Member second) {
        EntryVersion version = EntryVersion.of(1, 1);
        return MembershipView.of(List.of(
                new ObservedMember(first, version, presence),
                new ObservedMember(second, version, ObservedMember.Presence.ALIVE)));
    }

    private static Member member(final String node) {
        ServedTarget target = new ServedTarget("t", "desk", "v1", 2, MemberState.SERVING);
        return new Member(
                node, "a", "north", new NodeAddress("127.0.0.1", 80), MemberState.SERVING, List.of(target), 1);
    }
}
