package org.sequoiashunt.trial.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.QuarantinedRequest;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.memory.SimulatedCluster;
import org.sequoiashunt.memory.SimulatedNetwork;

/**
 * Nodes of a trial, with a configuration of as many services as the deployment that the system is designed for.
 *
 * <p>Confined to one thread.
 */
final class TrialFleet {

    /** Name of the region of the first half of the failure domains. */
    static final String FIRST_REGION = "bac-bo";

    private static final int SERVICES = 230;
    private static final long START_LIMIT_MS = 120_000;
    private static final int DIGEST_DIGITS = 64;

    private final SimulatedCluster cluster;
    private final List<NodeIdentity> identities = new ArrayList<>();
    private final SortedMap<String, String> digests = new TreeMap<>();
    private long version;

    private TrialFleet(final long seed) {
        cluster = new SimulatedCluster(seed, MembershipSettings.defaults());
    }

    /** Starts a number of nodes, spread over failure domains of two regions, and waits until all are ready. */
    static TrialFleet of(final int nodes, final int domains, final long seed) {
        TrialFleet fleet = new TrialFleet(seed);
        for (int service = 0; service < SERVICES; service++) {
            fleet.digests.put("service-" + service, "");
        }
        fleet.commit(List.copyOf(fleet.digests.keySet()));
        for (int index = 0; index < nodes; index++) {
            int domain = index % domains;
            String region = domain < (domains + 1) / 2 ? FIRST_REGION : "nam-bo";
            fleet.identities.add(fleet.cluster.identity(region, "domain-" + domain, index));
        }
        fleet.identities.forEach(fleet.cluster::start);
        fleet.awaitReady();
        return fleet;
    }

    SimulatedCluster cluster() {
        return cluster;
    }

    List<NodeIdentity> identities() {
        return identities;
    }

    /** Waits until all running nodes know each other and have the latest configuration. Returns the time taken. */
    long awaitReady() {
        return cluster.runUntil(() -> allInForce() && allKnow(cluster.nodes().size()), START_LIMIT_MS)
                .orElse(START_LIMIT_MS);
    }

    /** Commits a version in which the services named have new parts. */
    void commit(final List<String> changed) {
        version++;
        SortedMap<String, ServiceConfiguration> parts = new TreeMap<>();
        for (String service : changed) {
            String digest = digest(service + "-" + version);
            digests.put(service, digest);
            parts.put(digest, configuration(service));
        }
        cluster.platform().commit(new ConfigurationHead(version, "commit-" + version, digests, new TreeMap<>()), parts);
    }

    boolean allInForce() {
        return cluster.nodes().stream().allMatch(this::isInForce);
    }

    boolean isInForce(final ReplicaNode node) {
        return node.isReady() && node.configuration().versionInForce() == version;
    }

    boolean allKnow(final long present) {
        return cluster.nodes().stream().allMatch(node -> present(node) == present);
    }

    static long present(final ReplicaNode node) {
        return node.membership().view().members().stream()
                .filter(standing -> standing.presence().isPresent())
                .count();
    }

    /** Writes a small entry that replicates everywhere on one node. */
    void write(final int node, final String name) {
        QuarantinedRequest request = new QuarantinedRequest(name, 1, Long.MAX_VALUE);
        Entry entry = Entry.of(name, identities.get(node).node(), EntryVersion.of(1, 0), request);
        node(node).blackboard().merge(entry);
    }

    boolean allHave(final List<ReplicaNode> nodes, final String name) {
        EntryKey key = EntryKey.of(Section.QUARANTINE, name);
        return nodes.stream().allMatch(node -> node.blackboard().find(key).isPresent());
    }

    ReplicaNode node(final int index) {
        return cluster.node(identities.get(index).node());
    }

    /** Sum of what all nodes sent and received since the counts were reset. */
    SimulatedNetwork.Traffic traffic() {
        return identities.stream()
                .map(identity -> cluster.network().traffic(identity.address()))
                .reduce(SimulatedNetwork.Traffic.NONE, SimulatedNetwork.Traffic::plus);
    }

    /** The largest number of bytes that one node sent and received since the counts were reset. */
    long largestBytes() {
        return identities.stream()
                .map(identity -> cluster.network().traffic(identity.address()))
                .mapToLong(traffic -> traffic.sentBytes() + traffic.receivedBytes())
                .max()
                .orElse(0);
    }

    /** Sum of the sequences of all nodes' own entries; it grows with each refutation. */
    long sequences() {
        return cluster.nodes().stream()
                .mapToLong(node -> node.membership().localMember().version().minor())
                .sum();
    }

    private static ServiceConfiguration configuration(final String service) {
        Route read = new Route("read", "/" + service + "/orders", Set.of("GET"), true, 1_000);
        Route write = new Route("write", "/" + service + "/orders", Set.of("POST"), false, 2_000);
        return new ServiceConfiguration(service, "v1", Optional.empty(), List.of(read, write), List.of());
    }

    private static String digest(final String text) {
        String hexadecimal = Integer.toHexString(text.hashCode());
        return hexadecimal.repeat(1 + DIGEST_DIGITS / hexadecimal.length()).substring(0, DIGEST_DIGITS);
    }
}
