package org.sequoiashunt.replication;

import java.util.Objects;
import org.sequoiashunt.blackboard.Section;

/**
 * Hash over all entries of one range: a section, or the entries of one service in a section that replicates per
 * service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param section the section.
 * @param service the service, empty unless the section replicates per service.
 * @param hash the hash over keys, versions and writers.
 */
public record RangeDigest(Section section, String service, long hash) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public RangeDigest {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(service, "service");
    }
}
