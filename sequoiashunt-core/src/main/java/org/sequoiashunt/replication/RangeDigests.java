package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * First step of anti-entropy: the hashes of all ranges that the sender holds. The receiver answers with a
 * {@link BucketDigests} for each range that differs.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param ranges the hashes.
 * @param failureDomain the failure domain of the sender.
 * @param replyTo the link address of the sender.
 */
public record RangeDigests(List<RangeDigest> ranges, String failureDomain, NodeAddress replyTo)
        implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public RangeDigests {
        ranges = List.copyOf(ranges);
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
