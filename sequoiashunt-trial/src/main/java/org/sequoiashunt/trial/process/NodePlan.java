package org.sequoiashunt.trial.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiashunt.memory.LoopbackAddresses;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Name, location and addresses of one node of a trial. Immutable and thread-safe.
 *
 * @param name the name of the node.
 * @param failureDomain its failure domain.
 * @param region its region.
 * @param callers the address for callers' requests.
 * @param link the address to which other nodes connect.
 * @param admin the address for the admin pages and for the announcements of targets.
 */
public record NodePlan(
        String name, String failureDomain, String region, NodeAddress callers, NodeAddress link, NodeAddress admin) {

    /**
     * Plans a node on free ports of a loopback address.
     *
     * @param name the name of the node, not null.
     * @param failureDomain its failure domain, not null.
     * @param region its region, not null.
     * @param host the loopback address, not null.
     * @return the plan, never null.
     */
    public static NodePlan of(final String name, final String failureDomain, final String region, final String host) {
        return new NodePlan(
                name,
                failureDomain,
                region,
                LoopbackAddresses.next(host),
                LoopbackAddresses.next(host),
                LoopbackAddresses.next(host));
    }

    /**
     * Writes the settings of the node.
     *
     * @param directory the directory for the file, not null.
     * @param store the address of the store, not null.
     * @return the file, never null.
     * @throws IOException if it cannot be written.
     */
    public Path writeSettings(final Path directory, final NodeAddress store) throws IOException {
        String yaml = """
                node: %s
                failureDomain: %s
                region: %s
                callers: %s
                link: %s
                admin: %s
                store: %s
                """.formatted(name, failureDomain, region, callers, link, admin, store);
        return Files.writeString(directory.resolve(name + ".yaml"), yaml);
    }
}
