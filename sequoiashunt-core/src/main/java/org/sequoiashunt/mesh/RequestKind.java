package org.sequoiashunt.mesh;

/**
 * Kind of the requests on a route: what may be repeated and which bodies are large.
 *
 * <p>Immutable and thread-safe.
 */
public enum RequestKind {
    /** Requests that may run more than once. */
    IDEMPOTENT(true),
    /** Requests that may run at most once. */
    NON_IDEMPOTENT(false),
    /** Requests with large bodies that may run at most once. */
    UPLOAD(false),
    /** Requests with large answers that may run more than once. */
    DOWNLOAD(true);

    private final boolean idempotent;

    RequestKind(final boolean idempotent) {
        this.idempotent = idempotent;
    }

    /**
     * Returns the kind of requests with ordinary bodies.
     *
     * @param idempotent whether requests may run more than once.
     * @return the kind, never null.
     */
    public static RequestKind of(final boolean idempotent) {
        return idempotent ? IDEMPOTENT : NON_IDEMPOTENT;
    }

    /**
     * Returns whether requests may run more than once.
     *
     * @return false if a request may run at most once.
     */
    public boolean isIdempotent() {
        return idempotent;
    }

    /**
     * Returns whether bodies of requests or responses are large.
     *
     * @return true for uploads and downloads.
     */
    public boolean hasLargeBodies() {
        return this == UPLOAD || this == DOWNLOAD;
    }
}
