package org.sequoiashunt.http;

/**
 * Reports that a request got no whole answer. Immutable and thread-safe.
 */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind what failed, not null.
     * @param message details.
     * @param cause the cause, or null.
     */
    public HttpException(final Kind kind, final String message, final Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * Returns what failed.
     *
     * @return the kind, never null.
     */
    public Kind kind() {
        return kind;
    }

    /** What failed. Immutable and thread-safe. */
    public enum Kind {
        /** No connection was made: no byte of the request was sent. */
        NOT_SENT,
        /** The connection ended before the whole answer arrived. */
        CUT,
        /** The answer is malformed, or its end cannot be told from a cut. */
        MALFORMED,
        /** The answer exceeds the bound. */
        TOO_LARGE,
        /** The time ran out. */
        TIMEOUT;

        /**
         * Tells whether the peer may have got the request.
         *
         * @return false only if no byte was sent.
         */
        public boolean mayHaveBeenSent() {
            return this != NOT_SENT;
        }
    }
}
