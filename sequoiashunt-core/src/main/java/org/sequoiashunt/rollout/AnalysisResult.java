package org.sequoiashunt.rollout;

import java.util.Objects;

/**
 * Result of the analysis of a new version. Immutable and thread-safe.
 *
 * @param finding whether the new version is healthy, suspected or faulty.
 * @param explanation part of a sentence that states the evidence, such as "route reserve failed 31 of 120 requests on
 *     2026.12, 2 of 2300 on 2026.11"; empty if there is no evidence against the new version.
 */
public record AnalysisResult(Finding finding, String explanation) {

    /** Result without evidence against the new version. */
    public static final AnalysisResult HEALTHY = new AnalysisResult(Finding.HEALTHY, "");

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public AnalysisResult {
        Objects.requireNonNull(finding, "finding");
        Objects.requireNonNull(explanation, "explanation");
    }

    /** Findings about a new version, from best to worst. Immutable and thread-safe. */
    public enum Finding {
        /** There is no evidence that the new version is faulty. */
        HEALTHY,
        /** There is evidence that the new version is faulty, but too little for a rollback. */
        SUSPECTED,
        /** The new version is worse than the old one. */
        FAULTY
    }
}
