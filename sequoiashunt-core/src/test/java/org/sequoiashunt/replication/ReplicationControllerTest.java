package org.sequoiashunt.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.QuarantinedRequest;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.rollout.Evidence;
import org.sequoiashunt.time.SteppedClock;

final class ReplicationControllerTest {

    private static final NodeAddress PEER = new NodeAddress("127.0.0.1", 2);
    private static final EntryKey HEAD = EntryKey.of(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME);

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Blackboard blackboard = new Blackboard();
    private final List<ControlMessage> sent = new ArrayList<>();
    private final Contacts contacts = new Contacts();
    private final ReplicationController controller = new ReplicationController(
            new NodeIdentity("node-1", "balaju", "kathmandu", new NodeAddress("127.0.0.1", 1)),
            blackboard,
            clock,
            new SplittableRandom(1),
            (receiver, message) -> sent.add(message),
            () -> MembershipView.of(List.of()),
            entry -> true,
            contacts);

    @Test
    void headIsMergedOnlyAfterAllItsParts() {
        deliver(head(2, "digest-a", "digest-b"));
        deliver(part("digest-a"));
        assertTrue(blackboard.find(HEAD).isEmpty());
        assertEquals(List.of("digest-a", "digest-b"), names((Pull) sent.get(0)));
        deliver(part("digest-b"));
        assertEquals(EntryVersion.of(2, 0), headVersion());
    }

    @Test
    void missingPartsArePulledAgain() {
        deliver(head(2, "digest-a"));
        contacts.add("balaju", "kathmandu", List.of(PEER));
        sent.clear();
        for (int tick = 0; tick < 10; tick++) {
            clock.advance(100);
            controller.tick();
        }
        assertTrue(sent.stream()
                .anyMatch(message -> message instanceof Pull pull && names(pull).equals(List.of("digest-a"))));
    }

    @Test
    void headThatArrivesLateDoesNotReplaceNewerOne() {
        deliver(head(3, "digest-a"), part("digest-a"));
        deliver(head(2, "digest-b"));
        deliver(part("digest-b"));
        assertEquals(EntryVersion.of(3, 0), headVersion());
        assertTrue(blackboard
                .find(EntryKey.of(Section.CONFIGURATION_PART, "digest-b"))
                .isEmpty());
    }

    @Test
    void partThatNoHeadReferencesIsNeitherPulledNorMerged() {
        Entry part = part("digest-x");
        controller.receive("node-2", new Offer(List.of(EntryStamp.of(part)), PEER));
        deliver(part);
        assertEquals(List.of(), sent);
        assertTrue(blackboard.entries(Section.CONFIGURATION_PART).isEmpty());
    }

    @Test
    void headIsDeliveredAsDifferenceToOneThatThePeerHas() {
        blackboard.merge(part("digest-a"));
        blackboard.merge(head(1, "digest-a"));
        blackboard.merge(part("digest-b"));
        blackboard.merge(head(2, "digest-a", "digest-b"));
        controller.receive("node-2", new Pull(List.of(HEAD), 1, PEER));
        HeadDelta delta = (HeadDelta) sent.get(0);
        assertEquals(Map.of("service-1", "digest-b"), delta.changedParts());
    }

    @Test
    void differenceIsAppliedOnlyToItsBase() {
        TreeMap<String, String> changed = new TreeMap<>(Map.of("service-1", "digest-b"));
        HeadDelta delta = new HeadDelta(1, 2, "commit-2", changed, List.of(), new TreeMap<>(), "store", PEER);
        controller.receive("node-2", delta);
        assertEquals(List.of(HEAD), ((Pull) sent.get(0)).keys());
        blackboard.merge(part("digest-a"));
        blackboard.merge(part("digest-b"));
        blackboard.merge(head(1, "digest-a"));
        deliver(part("digest-b"));
        controller.receive("node-2", delta);
        deliver(part("digest-b"));
        assertEquals(head(2, "digest-a", "digest-b"), blackboard.find(HEAD).orElseThrow());
    }

    @Test
    void headThatPeerLacksIsOfferedAndNotDelivered() {
        blackboard.merge(head(1));
        BucketStamps stamps = new BucketStamps(Section.CONFIGURATION_HEAD, "", 1, List.of(0), List.of(), PEER);
        controller.receive("node-2", stamps);
        assertEquals(1, sent.size());
        assertEquals(HEAD, ((Offer) sent.get(0)).stamps().get(0).key());
    }

    @Test
    void lostAnswerIsPulledAgainUntilItArrives() {
        Entry entry = quarantined("request", Long.MAX_VALUE);
        Offer offer = new Offer(List.of(EntryStamp.of(entry)), PEER);
        controller.receive("node-2", offer);
        controller.receive("node-3", offer);
        assertEquals(1, pulls(), "one peer is asked");
        clock.advance(300);
        controller.tick();
        assertEquals(2, pulls());
        deliver(entry);
        clock.advance(300);
        controller.tick();
        assertEquals(2, pulls());
    }

    @Test
    void expiredEntryIsRemovedAndNotMergedAgain() {
        Entry entry = quarantined("request", clock.nowMs() + 1_000);
        deliver(entry);
        assertTrue(blackboard.find(entry.key()).isPresent());
        clock.advance(2_000);
        controller.tick();
        assertFalse(blackboard.find(entry.key()).isPresent());
        deliver(entry);
        assertFalse(blackboard.find(entry.key()).isPresent());
    }

    @Test
    void evidenceOfServiceThatIsNotServedHereIsRefused() {
        List<Long> buckets = Collections.nCopies(Evidence.BUCKETS, 0L);
        Evidence evidence = new Evidence("node-2", "lot-ledger", "v1", "all", 1, 0, buckets);
        deliver(Entry.of(evidence.name(), "node-2", EntryVersion.of(1, 1), evidence));
        assertTrue(blackboard.entries(Section.EVIDENCE).isEmpty());
    }

    @Test
    void largeAnswersAreSplit() {
        List<EntryKey> keys = new ArrayList<>();
        for (int index = 0; index < 2_000; index++) {
            Entry entry = quarantined("request-" + index, Long.MAX_VALUE);
            blackboard.merge(entry);
            keys.add(entry.key());
        }
        controller.receive("node-2", new Pull(keys, 0, PEER));
        assertTrue(sent.size() > 1);
        assertTrue(sent.stream().allMatch(message -> WireSizeEstimator.estimate(message) < 33_000));
        int delivered = sent.stream()
                .mapToInt(message -> ((Deliver) message).entries().size())
                .sum();
        assertEquals(keys.size(), delivered);
    }

    private void deliver(final Entry... entries) {
        controller.receive("node-2", new Deliver(List.of(entries), PEER));
    }

    private EntryVersion headVersion() {
        return blackboard.find(HEAD).orElseThrow().version();
    }

    private long pulls() {
        return sent.stream().filter(Pull.class::isInstance).count();
    }

    private static List<String> names(final Pull pull) {
        return pull.keys().stream().map(EntryKey::name).toList();
    }

    private static Entry quarantined(final String name, final long expiresMs) {
        return Entry.of(name, "node-2", EntryVersion.of(1, 0), new QuarantinedRequest(name, 2, expiresMs));
    }

    private static Entry head(final long version, final String... digests) {
        TreeMap<String, String> parts = new TreeMap<>();
        for (int index = 0; index < digests.length; index++) {
            parts.put("service-" + index, digests[index]);
        }
        ConfigurationHead head = new ConfigurationHead(version, "commit-" + version, parts, new TreeMap<>());
        return Entry.of(ConfigurationHead.NAME, "store", EntryVersion.of(version, 0), head);
    }

    private static Entry part(final String digest) {
        Route route = new Route("all", "/", Set.of("GET"), true, 1_000);
        ServiceConfiguration part =
                new ServiceConfiguration("service", "v1", Optional.empty(), List.of(route), List.of());
        return Entry.of(digest, "store", EntryVersion.of(1, 0), part);
    }
}
