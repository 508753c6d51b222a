package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

/** Writes blackboard entries for one service with a move, for tests. */
final class RolloutFixture {

    static final String SERVICE = "registry-desk";
    static final String OLD_VERSION = "2026.11";
    static final String NEW_VERSION = "2026.12";
    static final String ROUTE = "reserve";
    static final long START_MS = 1_000_000;
    static final long MOVE_DURATION_MS = 200_000;

    final SteppedClock clock = SteppedClock.of(START_MS);
    private long sequence;

    static ServiceConfiguration configuration(final long finishByMs) {
        return configuration(Optional.of(new Move(OLD_VERSION, NEW_VERSION, finishByMs)));
    }

    static ServiceConfiguration configuration(final Optional<Move> move) {
        Route route = new Route(ROUTE, "/reserve", Set.of("POST"), false, 1_000);
        return new ServiceConfiguration(SERVICE, OLD_VERSION, move, List.of(route), List.of());
    }

    static String moveIdentity() {
        return configuration(START_MS + MOVE_DURATION_MS).moveIdentity().orElseThrow();
    }

    void commit(final Blackboard blackboard, final long version, final ServiceConfiguration configuration) {
        String digest = "digest-" + version;
        Map<String, String> parts = Map.of(SERVICE, digest);
        ConfigurationHead head =
                new ConfigurationHead(version, "commit-" + version, new TreeMap<>(parts), Collections.emptySortedMap());
        blackboard.merge(Entry.of(digest, "store", EntryVersion.of(version, 0), configuration));
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "store", EntryVersion.of(version, 0), head));
    }

    void publishServingMember(
            final Blackboard blackboard, final String node, final String failureDomain, final String... versions) {
        List<ServedTarget> targets = new ArrayList<>();
        for (String version : versions) {
            targets.add(new ServedTarget("target-" + version, SERVICE, version, 20, MemberState.SERVING));
        }
        NodeAddress address = new NodeAddress("127.0.0.1", 7000);
        Member member = new Member(node, failureDomain, "bac-bo", address, MemberState.SERVING, targets, 1);
        blackboard.merge(Entry.of(node, node, EntryVersion.of(1, ++sequence), member));
    }

    void publishLeftMember(final Blackboard blackboard, final String node, final String failureDomain) {
        NodeAddress address = new NodeAddress("127.0.0.1", 7000);
        Member member = new Member(node, failureDomain, "bac-bo", address, MemberState.LEFT, List.of(), 1);
        blackboard.merge(Entry.of(node, node, EntryVersion.of(1, ++sequence), member));
    }

    static void mergeInto(final Blackboard source, final Blackboard destination) {
        for (Section section : Section.values()) {
            source.entries(section).forEach(destination::merge);
        }
    }
}
