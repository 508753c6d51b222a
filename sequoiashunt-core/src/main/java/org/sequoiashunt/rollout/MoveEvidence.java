package org.sequoiashunt.rollout;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.configuration.Move;

/**
 * What one controller has learned about one move: the judgement, the totals, and from which nodes they came.
 *
 * <p>Confined to one thread.
 */
final class MoveEvidence {

    /** More than two refreshes of {@link EvidenceCollector}, so that one lost entry is no cut. */
    private static final long HEARD_WITHIN_MS = 12_000;

    private final Move move;
    private final VersionAnalyzer judge;
    private final EvidenceTracker tracker;
    private final MoveTotals totals = new MoveTotals();
    private long begunMs = -1;
    private AnalysisResult judgement = AnalysisResult.SOUND;

    MoveEvidence(final String service, final Move move, final VersionAnalyzer judge) {
        this.move = move;
        this.judge = judge;
        this.tracker = new EvidenceTracker(service, move);
    }

    /**
     * Takes in what has been counted since the last call.
     *
     * @param entries the entries of the evidence section, not null.
     * @param nowMs the current time in milliseconds.
     */
    void advance(final List<Entry> entries, final long nowMs) {
        begunMs = begunMs < 0 ? nowMs : begunMs;
        EvidenceBlock block = tracker.advance(entries, nowMs);
        totals.add(block);
        judgement = judge.judge(block);
    }

    /**
     * Returns the fault found.
     *
     * @return an explanation, or empty if the version is not known to be faulty.
     */
    Optional<String> fault() {
        boolean faulty = judgement.finding() == AnalysisResult.Finding.FAULTY;
        return faulty ? Optional.of(judgement.explanation()) : Optional.empty();
    }

    /**
     * Tells whether there is reason to wait for more evidence.
     *
     * @return true if something speaks against the version.
     */
    boolean isDoubtful() {
        return judgement.finding() == AnalysisResult.Finding.DOUBTFUL;
    }

    /**
     * Returns what speaks against the version.
     *
     * @return part of a sentence, empty if nothing does.
     */
    String doubt() {
        return judgement.explanation();
    }

    /**
     * Returns the service's rate as far as it is known.
     *
     * @param nowMs the current time in milliseconds.
     * @return requests a second over the time since the first evidence, zero if there was none.
     */
    double requestsPerSecond(final long nowMs) {
        long elapsedMs = Math.max(1_000, nowMs - begunMs);
        return totals.requests() * 1_000.0 / elapsedMs;
    }

    /**
     * Tells whether most of the nodes that sent evidence have fallen silent, as in a network partition.
     *
     * @param nowMs the current time in milliseconds.
     * @return true if fewer than half of the nodes were heard from lately.
     */
    boolean isCutOff(final long nowMs) {
        return 2 * heard(nowMs) < tracker.nodes();
    }

    /**
     * Describes what was seen.
     *
     * @param nowMs the current time in milliseconds.
     * @return part of a sentence.
     */
    String describe(final long nowMs) {
        String seen = totals.describe(move.to(), move.from());
        return isCutOff(nowMs) ? seen + "; heard from " + heard(nowMs) + " of " + tracker.nodes() + " nodes" : seen;
    }

    private int heard(final long nowMs) {
        return tracker.heardSince(nowMs - HEARD_WITHIN_MS).size();
    }
}
