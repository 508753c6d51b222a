package org.sequoiashunt.lifecycle;

/**
 * Thrown when resources fail to close. The individual failures are the suppressed exceptions.
 *
 * <p>Immutable except for the suppressed exceptions, which are thread-safe.
 */
public final class ResourceCloseException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed.
     */
    public ResourceCloseException(final String message) {
        super(message);
    }
}
