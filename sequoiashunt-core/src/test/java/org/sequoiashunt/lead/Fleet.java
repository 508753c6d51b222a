package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.memory.MemoryCluster;

/** Nodes of the brief's failure domains in a cluster, and configurations for them. */
final class Fleet {

    static final List<String> DOMAINS = List.of("ha-noi-a", "hai-phong-b", "sai-gon-a", "can-tho-b");

    final MemoryCluster cluster;
    final List<NodeIdentity> identities = new ArrayList<>();

    private Fleet(final long seed) {
        System.out.println("seed " + seed);
        cluster = new MemoryCluster(seed);
    }

    /** Starts some nodes in each failure domain, commits version 1 and waits until all are ready. */
    static Fleet ready(final long seed, final int domains, final int nodesPerDomain) {
        Fleet fleet = new Fleet(seed);
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
        return (int) node.membership().view().all().stream()
                .filter(standing -> standing.presence().isPresent())
                .count();
    }

    boolean sees(final ReplicaNode node, final String name) {
        return node.membership().view().find(name).stream()
                .anyMatch(standing -> standing.presence().isPresent());
    }
}
