package org.sequoiashunt.node;

/**
 * Reports an invalid announcement of a target. Immutable and thread-safe.
 */
final class AnnouncementException extends Exception {

    private static final long serialVersionUID = 1L;

    AnnouncementException(final String message) {
        super(message);
    }
}
