package org.sequoiashunt.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoiashunt.configuration.ConfigurationSnapshot;
import org.sequoiashunt.execution.ClaimCoordinator;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.ControlMessenger;
import org.sequoiashunt.execution.HomeGroupGuards;
import org.sequoiashunt.execution.HomeGroupResolver;
import org.sequoiashunt.execution.RosterRegistry;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.time.Clock;

/**
 * Holds the components that claim idempotency keys on one node: the coordinator of the entry and the guards.
 *
 * <p>Immutable and thread-safe, as its components are.
 *
 * @param coordinator claims the keys of requests that enter at this node.
 * @param guards the guards that this node runs for home groups.
 */
record ClaimComponents(ClaimCoordinator coordinator, HomeGroupGuards guards) {

    static ClaimComponents of(
            final NodeSettings settings,
            final ReplicaNode replica,
            final RosterRegistry rosters,
            final PeerSender sender,
            final Clock clock,
            final RandomGenerator random) {
        ControlMessenger messenger = new ControlMessenger(sender, node -> addressOf(replica, node));
        ClaimTiming timing = ClaimTiming.defaults();
        HomeGroupResolver resolver = new HomeGroupResolver(
                new ConfiguredHomeGroups(() -> replica.configuration().inForce()), clock, timing, ClaimRule.all());
        ClaimCoordinator coordinator =
                new ClaimCoordinator(replica.blackboard(), resolver, clock, timing, ClaimRule.all(), messenger);
        HomeGroupGuards guards = new HomeGroupGuards(new HomeGroupGuards.Dependencies(
                settings.node(),
                () -> groupsContaining(replica, settings.failureDomain()),
                group -> nodesIn(replica, group),
                replica.blackboard(),
                clock,
                rosters,
                messenger,
                random));
        return new ClaimComponents(coordinator, guards);
    }

    private static Optional<NodeAddress> addressOf(final ReplicaNode replica, final String node) {
        return replica.membership()
                .view()
                .find(node)
                .map(ObservedMember::member)
                .map(Member::address);
    }

    private static List<String> groupsContaining(final ReplicaNode replica, final String failureDomain) {
        List<String> groupNames = new ArrayList<>();
        failureDomainsByGroup(replica).forEach((group, domains) -> {
            if (domains.contains(failureDomain)) {
                groupNames.add(group);
            }
        });
        return groupNames;
    }

    private static List<String> nodesIn(final ReplicaNode replica, final String group) {
        return failureDomainsByGroup(replica).getOrDefault(group, List.of()).stream()
                .flatMap(domain -> replica.membership().view().presentInLeadOrder(domain).stream())
                .map(Member::node)
                .toList();
    }

    private static Map<String, List<String>> failureDomainsByGroup(final ReplicaNode replica) {
        return replica.configuration()
                .inForce()
                .map(ConfigurationSnapshot::head)
                .<Map<String, List<String>>>map(head -> head.groups())
                .orElse(Map.of());
    }
}
