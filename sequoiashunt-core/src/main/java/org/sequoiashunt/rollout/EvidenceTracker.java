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
 * Converts the cumulative counts on the blackboard into counts per interval.
 *
 * <p>The counts found on the first call are the baseline, since they were counted in earlier steps of the move. A
 * node that restarted counts from zero under a new incarnation, so its counts are then used without subtraction.
 *
 * <p>Confined to one thread. Invariant: no call is returned twice.
 */
final class EvidenceTracker {

    private final String service;
    private final Move move;
    private final Map<String, LatestEntry> latestEntries = new HashMap<>();
    private boolean baselineTaken;

    EvidenceTracker(final String service, final Move move) {
        this.service = service;
        this.move = move;
    }

    /**
     * Reads the evidence on the blackboard.
     *
     * @param entries the entries of the evidence section, not null.
     * @param nowMs the current time in milliseconds.
     * @return the calls counted since the previous call of this method, never null; without counts on the first call.
     */
    EvidenceBlock addedSinceLastCall(final List<Entry> entries, final long nowMs) {
        List<Evidence> increments = new ArrayList<>();
        for (Entry entry : entries) {
            Evidence evidence = (Evidence) entry.value();
            if (belongsToMove(evidence)) {
                LatestEntry last = latestEntries.get(evidence.name());
                if (last == null || !last.entry().version().equals(entry.version())) {
                    latestEntries.put(evidence.name(), new LatestEntry(entry, nowMs));
                    addIncrement(increments, evidence, last, entry);
                }
            }
        }
        baselineTaken = true;
        return new EvidenceBlock(move.from(), move.to(), increments);
    }

    /**
     * Lists the nodes whose evidence entries changed since a given time, which shows that the nodes are reachable.
     *
     * @param sinceMs the earliest time, in milliseconds.
     * @return the names of the nodes, empty if there is none.
     */
    Set<String> nodesUpdatedSince(final long sinceMs) {
        Set<String> nodes = new TreeSet<>();
        for (LatestEntry latestEntry : latestEntries.values()) {
            if (latestEntry.atMs() >= sinceMs) {
                nodes.add(((Evidence) latestEntry.entry().value()).node());
            }
        }
        return nodes;
    }

    /**
     * Counts the nodes that have published evidence about the move.
     *
     * @return the number of nodes, zero or more.
     */
    int nodeCount() {
        return nodesUpdatedSince(Long.MIN_VALUE).size();
    }

    private boolean belongsToMove(final Evidence evidence) {
        return evidence.service().equals(service)
                && (evidence.targetVersion().equals(move.from())
                        || evidence.targetVersion().equals(move.to()));
    }

    private void addIncrement(
            final List<Evidence> increments, final Evidence evidence, final LatestEntry last, final Entry entry) {
        if (last == null) {
            if (baselineTaken) {
                increments.add(evidence);
            }
            return;
        }
        Evidence previous = (Evidence) last.entry().value();
        boolean restarted =
                entry.version().major() != last.entry().version().major() || evidence.requests() < previous.requests();
        increments.add(restarted ? evidence : EvidenceArithmetic.difference(evidence, previous));
    }

    /** Latest entry of one node, version and route, and the time at which it was read. Immutable and thread-safe. */
    private record LatestEntry(Entry entry, long atMs) {}
}
