package org.sequoiashunt.replication;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Delivers the configuration head as a difference to one that the receiver has.
 *
 * <p>Immutable and thread-safe. Invariant: the collections are unmodifiable.
 *
 * @param baseVersion the version that the difference starts from.
 * @param version the version of the new head, greater than the base.
 * @param commitId the identity of the commit.
 * @param changedParts the digest of each service whose part is new or different, by service.
 * @param removedServices the services that the new head no longer has.
 * @param groups the failure domains of each home group of the new head, by group.
 * @param writer the writer of the entry.
 * @param replyTo the link address of the sender, from which the receiver pulls the new parts.
 */
public record HeadDelta(
        long baseVersion,
        long version,
        String commitId,
        SortedMap<String, String> changedParts,
        List<String> removedServices,
        SortedMap<String, List<String>> groups,
        String writer,
        NodeAddress replyTo)
        implements ControlMessage {

    /**
     * Checks the components and copies the collections.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the version is not greater than the base.
     */
    public HeadDelta {
        Objects.requireNonNull(commitId, "commitId");
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(replyTo, "replyTo");
        removedServices = List.copyOf(removedServices);
        changedParts = Collections.unmodifiableSortedMap(new TreeMap<>(changedParts));
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
        if (version <= baseVersion) {
            throw new IllegalArgumentException("version must be greater than the base: " + version);
        }
    }
}
