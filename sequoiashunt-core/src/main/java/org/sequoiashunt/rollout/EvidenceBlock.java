package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Counts of the calls of one service that finished in one interval, the unit that {@link VersionAnalyzer} processes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from the old version, from which the traffic moves.
 * @param to the new version, to which the traffic moves.
 * @param counts the counts per node, target version and route, of calls of this interval only; may be empty.
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
     * Combines this block with that of a later interval.
     *
     * @param later the later block of the same move, not null.
     * @return a block with the calls of the two intervals, never null.
     */
    public EvidenceBlock plus(final EvidenceBlock later) {
        List<Evidence> combined = new ArrayList<>(counts);
        combined.addAll(later.counts);
        return new EvidenceBlock(from, to, combined);
    }

    /**
     * Counts the requests of one target version.
     *
     * @param targetVersion the target version, not null.
     * @return the number of requests, zero or more.
     */
    public long requests(final String targetVersion) {
        return counts.stream()
                .filter(count -> count.targetVersion().equals(targetVersion))
                .mapToLong(Evidence::requests)
                .sum();
    }
}
