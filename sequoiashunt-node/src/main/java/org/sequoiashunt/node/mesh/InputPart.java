package org.sequoiashunt.node.mesh;

/** Parts of a request whose memory is limited separately. Immutable. */
enum InputPart {
    HEAD(16_384),
    BODY(65_536);

    private final long largeBytes;

    InputPart(final long largeBytes) {
        this.largeBytes = largeBytes;
    }

    /** Returns whether this much memory counts as large input. */
    boolean isLarge(final long bytes) {
        return bytes > largeBytes;
    }
}
