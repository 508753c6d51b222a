package org.sequoiashunt.rollout;

import java.util.Objects;

/**
 * What the analysis of a new version found. Immutable and thread-safe.
 *
 * @param finding the finding.
 * @param explanation one plain sentence part with the evidence, such as "route reserve failed 31 of 120 requests on
 *     2026.12, 2 of 2300 on 2026.11"; empty if there is nothing to say.
 */
public record AnalysisResult(Finding finding, String explanation) {

    /** Judgement of a judge that has seen nothing wrong. */
    public static final AnalysisResult SOUND = new AnalysisResult(Finding.SOUND, "");

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public AnalysisResult {
        Objects.requireNonNull(finding, "finding");
        Objects.requireNonNull(explanation, "explanation");
    }

    /** Kinds of judgement, from best to worst. Immutable and thread-safe. */
    public enum Finding {
        /** Nothing speaks against the new version. */
        SOUND,
        /** Something speaks against it, but not yet enough to take it back. */
        DOUBTFUL,
        /** It is worse than the version beside it. */
        FAULTY
    }
}
