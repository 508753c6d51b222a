package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.configuration.Move;

/**
 * Turns the cumulative counts on the blackboard into counts per interval.
 *
 * <p>What stands on the blackboard at the first look is taken as a baseline: it was counted under earlier steps. A
 * node that restarted counts from zero again, under a new incarnation; its counts are then taken whole.
 *
 * <p>Confined to one thread. Invariant: no call is returned twice.
 */
final class EvidenceTracker {

    private final String service;
    private final Move move;
    private final Map<String, LatestEntry> seen = new HashMap<>();
    private boolean baselined;

    EvidenceTracker(final String service, final Move move) {
        this.service = service;
        this.move = move;
    }

    /**
     * Takes in the evidence on the blackboard.
     *
     * @param entries the entries of the evidence section, not null.
     * @param nowMs the current time in milliseconds.
     * @return the calls that were added since the last look.
     */
    EvidenceBlock advance(final List<Entry> entries, final long nowMs) {
        List<Evidence> increments = new ArrayList<>();
        for (Entry entry : entries) {
            Evidence evidence = (Evidence) entry.value();
            if (concerns(evidence)) {
                LatestEntry last = seen.get(evidence.name());
                if (last == null || !last.entry().version().equals(entry.version())) {
                    seen.put(evidence.name(), new LatestEntry(entry, nowMs));
                    addIncrement(increments, evidence, last, entry);
                }
            }
        }
        baselined = true;
        return new EvidenceBlock(move.from(), move.to(), increments);
    }

    /**
     * Lists the nodes whose evidence changed lately, which shows that they are within reach.
     *
     * @param sinceMs the earliest time, in milliseconds.
     * @return the names of the nodes.
     */
    Set<String> heardSince(final long sinceMs) {
        Set<String> nodes = new TreeSet<>();
        for (LatestEntry present : seen.values()) {
            if (present.atMs() >= sinceMs) {
                nodes.add(((Evidence) present.entry().value()).node());
            }
        }
        return nodes;
    }

    /**
     * Counts the nodes from which evidence has come.
     *
     * @return the number of nodes.
     */
    int nodes() {
        return heardSince(Long.MIN_VALUE).size();
    }

    private boolean concerns(final Evidence evidence) {
        return evidence.service().equals(service)
                && (evidence.targetVersion().equals(move.from())
                        || evidence.targetVersion().equals(move.to()));
    }

    private void addIncrement(
            final List<Evidence> increments, final Evidence evidence, final LatestEntry last, final Entry entry) {
        if (last == null) {
            if (baselined) {
                increments.add(evidence);
            }
            return;
        }
        Evidence before = (Evidence) last.entry().value();
        boolean restarted =
                entry.version().major() != last.entry().version().major() || evidence.requests() < before.requests();
        increments.add(restarted ? evidence : EvidenceArithmetic.difference(evidence, before));
    }

    /** Latest entry of one node, version and route. Immutable and thread-safe. */
    private record LatestEntry(Entry entry, long atMs) {}
}
