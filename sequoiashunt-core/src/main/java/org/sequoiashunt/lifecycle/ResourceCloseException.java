package org.sequoiashunt.lifecycle;

/**
 * Reports that resources failed to close. The causes are the suppressed exceptions.
 *
 * <p>Immutable but for the suppressed exceptions, which are thread-safe.
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
