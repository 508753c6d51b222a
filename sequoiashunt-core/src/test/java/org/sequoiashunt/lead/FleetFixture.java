package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.QuarantinedRequest;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.memory.SimulatedCluster;
import org.sequoiashunt.peer.NodeAddress;

/** Simulated cluster with up to four failure domains in two regions, and configurations for its nodes. */
final class FleetFixture {

    static final List<String> DOMAINS = List.of("ha-noi-a", "hai-phong-b", "sai-gon-a", "can-tho-b");

    final SimulatedCluster cluster;
    final List<NodeIdentity> identities = new ArrayList<>();

    private FleetFixture(final long seed, final MembershipSettings settings) {
        System.out.println("seed " + seed);
        cluster = new SimulatedCluster(seed, settings);
    }

    /** Commits version 1, starts the nodes and waits until all are ready and see each other. */
    static FleetFixture startReady(final long seed, final int domains, final int nodesPerDomain) {
        return startReady(seed, domains, nodesPerDomain, MembershipSettings.defaults());
    }

    static FleetFixture startReady(
            final long seed, final int domains, final int nodesPerDomain, final MembershipSettings settings) {
        FleetFixture fleet = new FleetFixture(seed, settings);
        fleet.commit(1);
        for (int index = 0; index < domains * nodesPerDomain; index++) {
            int domain = index % domains;
            String region = domain < 2 ? "bac-bo" : "nam-bo";
            NodeIdentity identity = fleet.cluster.identity(region, DOMAINS.get(domain), index);
            fleet.identities.add(identity);
            fleet.cluster.start(identity);
        }
        fleet.cluster
                .runUntil(() -> fleet.allSeeAllMembers() && fleet.allInForce(1), 60_000)
                .orElseThrow();
        return fleet;
    }

    void commit(final long version) {
        Map<String, ServiceConfiguration> parts = new TreeMap<>();
        TreeMap<String, String> digests = new TreeMap<>();
        for (String service : List.of("press-floor", "registry-desk")) {
            String digest = service + "-" + version;
            parts.put(digest, service(service, "v" + version));
            digests.put(service, digest);
        }
        TreeMap<String, List<String>> groups = new TreeMap<>(Map.of("north", DOMAINS.subList(0, 2)));
        cluster.platform().commit(new ConfigurationHead(version, "commit-" + version, digests, groups), parts);
    }

    static ServiceConfiguration service(final String name, final String version) {
        Route route = new Route("all", "/" + name, Set.of("GET"), true, 1_000);
        return new ServiceConfiguration(name, version, Optional.empty(), List.of(route), List.of("north"));
    }

    NodeIdentity identity(final String name) {
        return identities.stream()
                .filter(identity -> identity.node().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Drops messages in both directions between the given nodes and all others. */
    void isolate(final Collection<String> names) {
        cluster.network()
                .setCutLinks((sender, receiver) -> names.contains(name(sender)) != names.contains(name(receiver)));
    }

    /** Drops messages to the given node, but not messages from it. */
    void cutOffReceiving(final String name) {
        cluster.network().setCutLinks((sender, receiver) -> name(receiver).equals(name));
    }

    void removeCuts() {
        cluster.network().setCutLinks((sender, receiver) -> false);
    }

    /** Merges an entry on one node that must be replicated to all nodes. */
    static void quarantine(final ReplicaNode node, final String fingerprint) {
        QuarantinedRequest request = new QuarantinedRequest(fingerprint, 2, Long.MAX_VALUE);
        node.blackboard().merge(Entry.of(fingerprint, "writer", EntryVersion.of(1, 0), request));
    }

    boolean allHaveQuarantined(final String fingerprint) {
        return allHaveQuarantined(cluster.nodes(), fingerprint);
    }

    static boolean allHaveQuarantined(final Collection<ReplicaNode> nodes, final String fingerprint) {
        EntryKey key = EntryKey.of(Section.QUARANTINE, fingerprint);
        return nodes.stream().allMatch(node -> node.blackboard().find(key).isPresent());
    }

    /** Sum of the minor versions of all members' local entries; grows with each refutation of a suspicion. */
    long totalRefutations() {
        return cluster.nodes().stream()
                .mapToLong(node -> node.membership().localMember().version().minor())
                .sum();
    }

    private String name(final NodeAddress address) {
        return cluster.identityAt(address).node();
    }

    List<String> nodeNames(final int domain) {
        return identities.stream()
                .filter(identity -> identity.failureDomain().equals(DOMAINS.get(domain)))
                .map(NodeIdentity::node)
                .toList();
    }

    boolean allInForce(final long version) {
        return cluster.nodes().stream()
                .allMatch(node -> node.configuration().versionInForce() == version && node.isReady());
    }

    boolean allSeeAllMembers() {
        return cluster.nodes().stream().allMatch(node -> countPresent(node) == identities.size());
    }

    boolean allCountPresent(final Collection<ReplicaNode> nodes, final int expected) {
        return nodes.stream().allMatch(node -> countPresent(node) == expected);
    }

    List<ReplicaNode> nodesOf(final int domain) {
        return nodeNames(domain).stream()
                .map(cluster::node)
                .filter(node -> node != null)
                .toList();
    }

    static int countPresent(final ReplicaNode node) {
        return (int) node.membership().view().members().stream()
                .filter(observed -> observed.presence().isPresent())
                .count();
    }

    boolean seesPresent(final ReplicaNode node, final String name) {
        return node.membership().view().find(name).stream()
                .anyMatch(observed -> observed.presence().isPresent());
    }
}
