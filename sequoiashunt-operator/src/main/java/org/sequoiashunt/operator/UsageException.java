package org.sequoiashunt.operator;

/**
 * Thrown if the command line is invalid. Immutable and thread-safe.
 */
final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    UsageException(final String message) {
        super(message);
    }
}
