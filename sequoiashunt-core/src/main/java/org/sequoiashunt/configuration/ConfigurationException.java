package org.sequoiashunt.configuration;

/**
 * Thrown if a configuration is invalid, cannot be read or cannot be put in force. Immutable and thread-safe.
 */
public final class ConfigurationException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, in a form that an operator can act on.
     */
    public ConfigurationException(final String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what is wrong, in a form that an operator can act on.
     * @param cause the cause, or null.
     */
    public ConfigurationException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
