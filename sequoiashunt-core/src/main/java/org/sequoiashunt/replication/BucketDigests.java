package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Second step of anti-entropy: a hash per bucket of one range. The receiver answers with {@link BucketStamps} for the
 * buckets that differ.
 *
 * <p>Immutable and thread-safe. Invariants: the list is unmodifiable; its size is a power of two.
 *
 * @param section the section.
 * @param service the service, empty unless the section replicates per service.
 * @param hashes the hash of each bucket.
 * @param replyTo the link address of the sender.
 */
public record BucketDigests(Section section, String service, List<Long> hashes, NodeAddress replyTo)
        implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the number of buckets is not a power of two.
     */
    public BucketDigests {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(service, "service");
        hashes = List.copyOf(hashes);
        Objects.requireNonNull(replyTo, "replyTo");
        if (Integer.bitCount(hashes.size()) != 1) {
            throw new IllegalArgumentException("number of buckets must be a power of two: " + hashes.size());
        }
    }
}
