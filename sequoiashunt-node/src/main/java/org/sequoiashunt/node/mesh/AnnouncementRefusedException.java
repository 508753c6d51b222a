package org.sequoiashunt.node.mesh;

/** Reports an announcement that does not describe a target. Immutable and thread-safe. */
public final class AnnouncementRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong.
     */
    public AnnouncementRefusedException(final String message) {
        super(message);
    }
}
