package org.sequoiashunt.rollout;

/**
 * Analyzes whether the new version of a move is worse than the old version. Confined to one thread; each instance
 * serves one move.
 */
public interface VersionAnalyzer {

    /**
     * Adds the calls counted since the previous analysis and analyzes the new version.
     *
     * @param block the calls of one interval, not null, may be empty.
     * @return the result over all blocks added so far, never null.
     */
    AnalysisResult analyze(EvidenceBlock block);

    /** Creates an analyzer for each move. Implementations are thread-safe. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates an analyzer.
         *
         * @return an analyzer without any calls, never null.
         */
        VersionAnalyzer create();
    }
}
