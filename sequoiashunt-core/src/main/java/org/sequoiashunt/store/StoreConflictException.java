package org.sequoiashunt.store;

/**
 * Reports that a compare-and-swap found another revision. Nothing was written. Immutable and thread-safe.
 */
public final class StoreConflictException extends StoreException {

    private static final long serialVersionUID = 1L;

    private final long currentRevision;

    /**
     * Creates an exception.
     *
     * @param key the key that changed.
     * @param currentRevision the revision that the store holds.
     */
    public StoreConflictException(final String key, final long currentRevision) {
        super("'" + key + "' is at revision " + currentRevision, false);
        this.currentRevision = currentRevision;
    }

    /**
     * Returns the revision that the store holds.
     *
     * @return the revision, {@link Store#ABSENT} if the key does not exist.
     */
    public long currentRevision() {
        return currentRevision;
    }
}
