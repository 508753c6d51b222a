package org.sequoiashunt.http;

/**
 * Reports a request without a complete response. Immutable and thread-safe.
 */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind what failed, not null.
     * @param message what happened, with its values.
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
        /** No byte of the request was sent, as there was no connection or no time. */
        NOT_SENT,
        /** The connection ended before the complete response arrived. */
        CONNECTION_LOST,
        /** The response is malformed, or has neither a length nor chunks, so that a truncated one is not recognised. */
        MALFORMED,
        /** The body of the response exceeds the maximum size. */
        TOO_LARGE,
        /** The timeout passed after the request had been sent. */
        TIMEOUT;

        /**
         * Tells whether the peer may have received the request.
         *
         * @return false only if no byte was sent.
         */
        public boolean mayHaveBeenSent() {
            return this != NOT_SENT;
        }
    }
}
