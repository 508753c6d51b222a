package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Third step of anti-entropy: all versions that the sender has in some buckets of one range. The receiver delivers
 * what the sender lacks and pulls what it lacks itself.
 *
 * <p>Immutable and thread-safe. Invariants: the lists are unmodifiable; the number of buckets is a power of two.
 *
 * @param section the section.
 * @param service the service, empty unless the section replicates per service.
 * @param bucketCount the number of buckets into which the range is divided.
 * @param buckets the indexes of the buckets meant.
 * @param stamps the versions that the sender has in these buckets.
 * @param replyTo the link address of the sender.
 */
public record BucketStamps(
        Section section,
        String service,
        int bucketCount,
        List<Integer> buckets,
        List<EntryStamp> stamps,
        NodeAddress replyTo)
        implements ControlMessage {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the number of buckets is not a power of two.
     */
    public BucketStamps {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(service, "service");
        buckets = List.copyOf(buckets);
        stamps = List.copyOf(stamps);
        Objects.requireNonNull(replyTo, "replyTo");
        if (Integer.bitCount(bucketCount) != 1) {
            throw new IllegalArgumentException("number of buckets must be a power of two: " + bucketCount);
        }
    }
}
