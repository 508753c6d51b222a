package org.sequoiashunt.node.mesh;

/**
 * Limits on the input of all connections of one address together. Immutable and thread-safe.
 *
 * @param maximumConnections the largest number of connections, at least 1.
 * @param headBytes the memory for the heads of all requests, in bytes, at least 1.
 * @param bodyBytes the memory for the bodies of all requests, in bytes, at least 1.
 */
record InputLimits(int maximumConnections, long headBytes, long bodyBytes) {

    /**
     * Part of a limit that is available to connections that hold much; the rest is kept for those that hold little.
     */
    private static final double PART_FOR_LARGE_INPUT = 0.75;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a limit is not positive.
     */
    InputLimits {
        if (maximumConnections < 1 || headBytes < 1 || bodyBytes < 1) {
            throw new IllegalArgumentException("every limit on input must be positive");
        }
    }

    /** Returns the memory that connections with large input may use together, in bytes. */
    long bytesForLargeInput(final InputPart part) {
        return (long) (bytes(part) * PART_FOR_LARGE_INPUT);
    }

    /** Returns the memory that all connections may use together, in bytes. */
    long bytes(final InputPart part) {
        return part == InputPart.HEAD ? headBytes : bodyBytes;
    }
}
