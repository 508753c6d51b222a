package org.sequoiashunt.operator;

/**
 * Reports a command line that does not fit. Immutable and thread-safe.
 */
final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    UsageException(final String message) {
        super(message);
    }
}
