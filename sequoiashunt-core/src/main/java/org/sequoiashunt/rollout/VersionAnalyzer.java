package org.sequoiashunt.rollout;

/**
 * Analyzes one move's new version against the version beside it. Confined to one thread; one instance serves one move.
 */
public interface VersionAnalyzer {

    /**
     * Takes in what was counted since the last call and judges.
     *
     * @param block the calls of one interval, not null, may be empty.
     * @return the judgement over everything taken in, never null.
     */
    AnalysisResult judge(EvidenceBlock block);

    /** Creates a judge for each move. Implementations are thread-safe. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates a judge.
         *
         * @return a judge that has seen nothing, never null.
         */
        VersionAnalyzer create();
    }
}
