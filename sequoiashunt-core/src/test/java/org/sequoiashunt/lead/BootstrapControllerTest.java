package org.sequoiashunt.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.memory.SimulatedPlatform;
import org.sequoiashunt.memory.SimulatedStore;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.replication.Contacts;

final class BootstrapControllerTest {

    private static final NodeAddress CONTACT = new NodeAddress("127.0.0.1", 2);

    private final SimulatedStore store = new SimulatedStore(() -> 1_000);
    private final SimulatedPlatform platform = new SimulatedPlatform(store);
    private final Contacts contacts = new Contacts();
    private boolean joined;
    private final BootstrapController bootstrap = new BootstrapController(
            new NodeIdentity("node-1", "balaju", "kathmandu", new NodeAddress("127.0.0.1", 1)),
            platform,
            contacts,
            () -> joined,
            new SplittableRandom(4));

    @Test
    void readsContactsUntilNodeHasJoined() throws Exception {
        platform.write(new DomainSummary("balaju", "kathmandu", "node-2", List.of(CONTACT), 9, 1, 1, List.of(), 1_000));
        bootstrap.step();
        bootstrap.step();
        assertEquals(List.of(CONTACT), contacts.of("balaju"));
        assertEquals(9, bootstrap.lastReadResult().memberCount());
        long calls = store.callCount();
        bootstrap.step();
        assertEquals(calls + 1, store.callCount());
        joined = true;
        bootstrap.step();
        assertEquals(calls + 1, store.callCount());
    }

    @Test
    void pausesBeforeFirstReadAndBetweenFailedReads() {
        store.setFault(SimulatedStore.Fault.DOWN);
        assertTrue(bootstrap.step() > 0);
        assertEquals(0, store.callCount());
        long passedMs = 0;
        while (passedMs < 60_000) {
            passedMs += bootstrap.step();
        }
        assertFalse(bootstrap.lastReadResult().answered());
        assertTrue(store.callCount() < 60, "store calls in a minute: " + store.callCount());
    }
}
