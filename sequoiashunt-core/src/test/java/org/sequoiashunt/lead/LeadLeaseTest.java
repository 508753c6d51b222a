package org.sequoiashunt.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.memory.SimulatedStore;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

final class LeadLeaseTest {

    private static final String DOMAIN = "balaju";

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final SimulatedStore store = new SimulatedStore(clock);
    private final MembershipView view = view(10);
    private boolean bootstrapAnswered = true;

    @Test
    void firstRankedMemberAcquiresAndRenewsLease() {
        LeadLease lease = lease(0);
        for (int second = 0; second < 60; second++) {
            run(lease, 1_000);
            assertTrue(lease.isHeld());
        }
        assertEquals(
                view.presentInLeadOrder(DOMAIN).get(0).node(),
                store.leadHolder(DOMAIN).orElseThrow());
    }

    @Test
    void memberRankedBelowCandidatesNeverRequestsLease() {
        LeadLease lease = lease(3);
        run(lease, 600_000);
        assertEquals(0, store.callCount());
    }

    @Test
    void pausedHolderStopsBeforeNextHolderStarts() {
        LeadLease paused = lease(0);
        run(paused, 1_000);
        LeadLease next = lease(1);
        while (!next.isHeld()) {
            run(next, 10);
            assertFalse(paused.isHeld() && next.isHeld(), "two holders at " + clock.nowMs());
        }
    }

    @Test
    void leaseIsNotHeldWhenAnswerArrivesAfterItsEnd() {
        LeadLease lease = new LeadLease(
                identity(0), new SlowStore(clock, store, 6_000), clock, () -> view, this::readResult, random());
        run(lease, 100);
        assertFalse(lease.isHeld());
    }

    @Test
    void lostAnswersEndLeaseByLocalClock() {
        LeadLease lease = lease(0);
        run(lease, 1_000);
        store.setFault(SimulatedStore.Fault.ANSWERS_LOST);
        run(lease, 5_000);
        assertFalse(lease.isHeld());
        store.setFault(SimulatedStore.Fault.NONE);
        run(lease, 10_000);
        assertTrue(lease.isHeld());
    }

    @Test
    void isolatedNodeRequestsLeaseOnlyAfterStoreAnswered() {
        bootstrapAnswered = false;
        MembershipView isolatedView = view(1);
        LeadLease lease = new LeadLease(identity(0), store, clock, () -> isolatedView, this::readResult, random());
        run(lease, 60_000);
        assertEquals(0, store.callCount());
        bootstrapAnswered = true;
        run(lease, 5_000);
        assertTrue(lease.isHeld());
    }

    @Test
    void holderMissingFromViewIsNotKnown() throws Exception {
        store.acquireLease("leads/" + DOMAIN, "stranger", 5_000);
        LeadLease lease = lease(0);
        run(lease, 100);
        assertFalse(lease.isHolderKnown());
        run(lease, 10_000);
        assertTrue(lease.isHolderKnown());
    }

    private LeadLease lease(final int rank) {
        String name = view.presentInLeadOrder(DOMAIN).get(rank).node();
        NodeIdentity identity = identity(Integer.parseInt(name.substring(name.indexOf('-') + 1)));
        return new LeadLease(identity, store, clock, () -> view, this::readResult, random());
    }

    private BootstrapController.ReadResult readResult() {
        return new BootstrapController.ReadResult(bootstrapAnswered, 0);
    }

    private void run(final LeadLease lease, final long durationMs) {
        long untilMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < untilMs) {
            lease.step();
            clock.advance(10);
        }
    }

    private static SplittableRandom random() {
        return new SplittableRandom(5);
    }

    private static NodeIdentity identity(final int index) {
        return new NodeIdentity("node-" + index, DOMAIN, "kathmandu", new NodeAddress("127.0.0.1", 1 + index));
    }

    private static MembershipView view(final int members) {
        List<ObservedMember> observedMembers = new ArrayList<>();
        for (int index = 0; index < members; index++) {
            NodeIdentity node = identity(index);
            Member member =
                    new Member(node.node(), DOMAIN, node.region(), node.address(), MemberState.SERVING, List.of(), 1);
            observedMembers.add(new ObservedMember(member, EntryVersion.of(1, 0), ObservedMember.Presence.ALIVE));
        }
        return MembershipView.of(observedMembers);
    }
}
