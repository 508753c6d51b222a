package org.sequoiashunt.mesh.check;

import java.util.Set;

/**
 * What is known of the deployment that a configuration is for, beside the configuration itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param regions the regions of the deployment; empty if they are not known.
 * @param largestUploadBytes the length of the largest body that callers upload, in bytes; zero if it is not known.
 * @param quotaWindowMs the length of the window in which limits of organisations apply, in milliseconds.
 */
public record Deployment(Set<String> regions, long largestUploadBytes, long quotaWindowMs) {

    /**
     * Checks the components and copies the set.
     *
     * @throws NullPointerException if the set is null.
     * @throws IllegalArgumentException if the length of uploads is negative or the window is not positive.
     */
    public Deployment {
        regions = Set.copyOf(regions);
        if (largestUploadBytes < 0) {
            throw new IllegalArgumentException("the largest upload must not be negative: " + largestUploadBytes);
        }
        if (quotaWindowMs < 1) {
            throw new IllegalArgumentException("the window must be positive: " + quotaWindowMs + " ms");
        }
    }
}
