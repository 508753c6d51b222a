package org.sequoiashunt.membership;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Summary that the lead of a failure domain publishes in the store: contacts for nodes that start, and the state of the
 * domain for operators.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param failureDomain the failure domain.
 * @param region its region.
 * @param lead the node that wrote the summary.
 * @param contacts link addresses of a few members, the lead's first.
 * @param members how many members are alive.
 * @param lowestVersion the lowest configuration version in force on a member that serves, zero for none.
 * @param highestVersion the highest configuration version in force on a member, zero for none.
 * @param refusals why members refuse a newer version, may be empty.
 * @param atMs when the summary was made, in milliseconds since the epoch.
 */
public record DomainSummary(
        String failureDomain,
        String region,
        String lead,
        List<NodeAddress> contacts,
        int members,
        long lowestVersion,
        long highestVersion,
        List<String> refusals,
        long atMs) {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     */
    public DomainSummary {
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(lead, "lead");
        contacts = List.copyOf(contacts);
        refusals = List.copyOf(refusals);
    }
}
