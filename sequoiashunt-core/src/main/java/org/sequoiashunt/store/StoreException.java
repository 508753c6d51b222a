package org.sequoiashunt.store;

/**
 * Thrown when the store does not answer a call or refuses it. Immutable and thread-safe.
 */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean effectPossible;

    /**
     * Creates an exception.
     *
     * @param message what failed.
     * @param effectPossible whether the requested write may have taken effect.
     */
    public StoreException(final String message, final boolean effectPossible) {
        this(message, effectPossible, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what failed.
     * @param effectPossible whether the requested write may have taken effect.
     * @param cause the cause, or null.
     */
    public StoreException(final String message, final boolean effectPossible, final Throwable cause) {
        super(message, cause);
        this.effectPossible = effectPossible;
    }

    /**
     * Tells whether the requested write may have taken effect in spite of the failure.
     *
     * @return true if only a read can show whether it did; false if nothing was written.
     */
    public final boolean mayHaveTakenEffect() {
        return effectPossible;
    }
}
