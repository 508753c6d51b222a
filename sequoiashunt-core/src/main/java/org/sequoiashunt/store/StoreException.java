package org.sequoiashunt.store;

/**
 * Reports that the store did not answer, or refused. Immutable and thread-safe.
 */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean effectPossible;

    /**
     * Creates an exception.
     *
     * @param message what happened.
     * @param effectPossible whether the write that was asked for may have taken effect.
     */
    public StoreException(final String message, final boolean effectPossible) {
        this(message, effectPossible, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what happened.
     * @param effectPossible whether the write that was asked for may have taken effect.
     * @param cause the cause, or null.
     */
    public StoreException(final String message, final boolean effectPossible, final Throwable cause) {
        super(message, cause);
        this.effectPossible = effectPossible;
    }

    /**
     * Tells whether the write may have taken effect although it was not answered.
     *
     * @return true if the caller must read to find out.
     */
    public final boolean mayHaveTakenEffect() {
        return effectPossible;
    }
}
