package org.sequoiashunt.rollout;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.configuration.Move;

/**
 * Evidence that one controller has collected about one move: the analysis result, the call totals and the nodes that
 * published evidence.
 *
 * <p>Confined to one thread.
 */
final class MoveEvidence {

    /**
     * Longest time without evidence from a reachable node, in milliseconds; more than two refresh intervals of
     * {@link EvidenceCollector}, so that one lost entry does not make a node count as unreachable.
     */
    private static final long REACHABLE_WITHIN_MS = 12_000;

    private final Move move;
    private final VersionAnalyzer analyzer;
    private final EvidenceTracker tracker;
    private final MoveTotals totals = new MoveTotals();
    private long firstUpdateMs = -1;
    private AnalysisResult result = AnalysisResult.HEALTHY;

    MoveEvidence(final String service, final Move move, final VersionAnalyzer analyzer) {
        this.move = move;
        this.analyzer = analyzer;
        this.tracker = new EvidenceTracker(service, move);
    }

    /**
     * Adds the calls counted since the previous update and analyzes the new version.
     *
     * @param entries the entries of the evidence section, not null.
     * @param nowMs the current time in milliseconds.
     */
    void update(final List<Entry> entries, final long nowMs) {
        firstUpdateMs = firstUpdateMs < 0 ? nowMs : firstUpdateMs;
        EvidenceBlock block = tracker.addedSinceLastCall(entries, nowMs);
        totals.add(block);
        result = analyzer.analyze(block);
    }

    /**
     * Returns an explanation of the fault found in the new version.
     *
     * @return part of a sentence, or empty if the version was not found faulty.
     */
    Optional<String> fault() {
        boolean faulty = result.finding() == AnalysisResult.Finding.FAULTY;
        return faulty ? Optional.of(result.explanation()) : Optional.empty();
    }

    /**
     * Tells whether there is evidence against the new version that is too weak for a rollback.
     *
     * @return true if the finding is {@link AnalysisResult.Finding#SUSPECTED}.
     */
    boolean isSuspected() {
        return result.finding() == AnalysisResult.Finding.SUSPECTED;
    }

    /**
     * Returns the evidence against the new version.
     *
     * @return part of a sentence, empty if there is no such evidence.
     */
    String suspicion() {
        return result.explanation();
    }

    /**
     * Returns the average request rate of the service, of the old and the new version together.
     *
     * @param nowMs the current time in milliseconds.
     * @return requests per second since the first update, zero if there were none.
     */
    double requestsPerSecond(final long nowMs) {
        long elapsedMs = Math.max(1_000, nowMs - firstUpdateMs);
        return totals.requests() * 1_000.0 / elapsedMs;
    }

    /**
     * Tells whether most of the nodes that published evidence are unreachable, as in a network partition.
     *
     * @param nowMs the current time in milliseconds.
     * @return true if fewer than half of the nodes have published evidence within the last
     *     {@value #REACHABLE_WITHIN_MS} ms.
     */
    boolean isPartitioned(final long nowMs) {
        return 2 * reachableNodeCount(nowMs) < tracker.nodeCount();
    }

    /**
     * Describes the calls counted so far, and how many nodes are reachable if this controller is partitioned.
     *
     * @param nowMs the current time in milliseconds.
     * @return part of a sentence.
     */
    String describe(final long nowMs) {
        String seen = totals.describe(move.to(), move.from());
        return isPartitioned(nowMs)
                ? seen + "; heard from " + reachableNodeCount(nowMs) + " of " + tracker.nodeCount() + " nodes"
                : seen;
    }

    private int reachableNodeCount(final long nowMs) {
        return tracker.nodesUpdatedSince(nowMs - REACHABLE_WITHIN_MS).size();
    }
}
