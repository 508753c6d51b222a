package org.sequoiashunt.node.mesh;

/** Thrown when an announcement does not describe a target. Immutable and thread-safe. */
public final class AnnouncementRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason for which the announcement is refused.
     */
    public AnnouncementRefusedException(final String message) {
        super(message);
    }
}
