package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Calls of one service that ended in one interval.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from the version that has the traffic.
 * @param to the version that is to have it.
 * @param counts the counts per node, target version and route; only calls of this interval.
 */
public record EvidenceBlock(String from, String to, List<Evidence> counts) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public EvidenceBlock {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        counts = List.copyOf(counts);
    }

    /**
     * Adds the calls of a later interval.
     *
     * @param later the later block of the same move, not null.
     * @return a block of both intervals, never null.
     */
    public EvidenceBlock plus(final EvidenceBlock later) {
        List<Evidence> both = new ArrayList<>(counts);
        both.addAll(later.counts);
        return new EvidenceBlock(from, to, both);
    }

    /**
     * Counts the requests of one target version.
     *
     * @param targetVersion the target version, not null.
     * @return the number of requests.
     */
    public long requests(final String targetVersion) {
        return counts.stream()
                .filter(count -> count.targetVersion().equals(targetVersion))
                .mapToLong(Evidence::requests)
                .sum();
    }
}
