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

/** Nodes of the brief's failure domains in a cluster, and configurations for them. */
final class FleetFixture {

    static final List<String> DOMAINS = List.of("ha-noi-a", "hai-phong-b", "sai-gon-a", "can-tho-b");

    final SimulatedCluster cluster;
    final List<NodeIdentity> identities = new ArrayList<>();

    private FleetFixture(final long seed, final MembershipSettings settings) {
        System.out.println("seed " + seed);
        cluster = new SimulatedCluster(seed, settings);
    }

    /** Starts some nodes in each failure domain, commits version 1 and waits until all are ready. */
    static FleetFixture ready(final long seed, final int domains, final int nodesPerDomain) {
        return ready(seed, domains, nodesPerDomain, MembershipSettings.defaults());
    }

    static FleetFixture ready(
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
                .runUntil(() -> fleet.allKnowEachOther() && fleet.allInForce(1), 60_000)
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

    /** Cuts both directions between the nodes named and all others. */
    void isolate(final Collection<String> names) {
        cluster.network().setCut((sender, receiver) -> names.contains(name(sender)) != names.contains(name(receiver)));
    }

    /** Cuts the way to one node, but not the way from it. */
    void deafen(final String name) {
        cluster.network().setCut((sender, receiver) -> name(receiver).equals(name));
    }

    void heal() {
        cluster.network().setCut((sender, receiver) -> false);
    }

    /** Writes an entry that replicates everywhere on one node. */
    static void quarantine(final ReplicaNode node, final String fingerprint) {
        QuarantinedRequest request = new QuarantinedRequest(fingerprint, 2, Long.MAX_VALUE);
        node.blackboard().merge(Entry.of(fingerprint, "writer", EntryVersion.of(1, 0), request));
    }

    boolean allHave(final String fingerprint) {
        return allHave(cluster.nodes(), fingerprint);
    }

    static boolean allHave(final Collection<ReplicaNode> nodes, final String fingerprint) {
        EntryKey key = EntryKey.of(Section.QUARANTINE, fingerprint);
        return nodes.stream().allMatch(node -> node.blackboard().find(key).isPresent());
    }

    /** Sum of the versions that all members have of themselves; it grows with each refutation. */
    long refutations() {
        return cluster.nodes().stream()
                .mapToLong(node -> node.membership().localMember().version().minor())
                .sum();
    }

    private String name(final NodeAddress address) {
        return cluster.at(address).node();
    }

    List<String> names(final int domain) {
        return identities.stream()
                .filter(identity -> identity.failureDomain().equals(DOMAINS.get(domain)))
                .map(NodeIdentity::node)
                .toList();
    }

    boolean allInForce(final long version) {
        return cluster.nodes().stream()
                .allMatch(node -> node.configuration().versionInForce() == version && node.isReady());
    }

    boolean allKnowEachOther() {
        return cluster.nodes().stream().allMatch(node -> present(node) == identities.size());
    }

    boolean allCount(final Collection<ReplicaNode> nodes, final int present) {
        return nodes.stream().allMatch(node -> present(node) == present);
    }

    List<ReplicaNode> nodesOf(final int domain) {
        return names(domain).stream()
                .map(cluster::node)
                .filter(node -> node != null)
                .toList();
    }

    static int present(final ReplicaNode node) {
        return (int) node.membership().view().members().stream()
                .filter(standing -> standing.presence().isPresent())
                .count();
    }

    boolean sees(final ReplicaNode node, final String name) {
        return node.membership().view().find(name).stream()
                .anyMatch(standing -> standing.presence().isPresent());
    }
}
