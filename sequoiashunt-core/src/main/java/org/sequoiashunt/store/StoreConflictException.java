package org.sequoiashunt.store;

/**
 * Thrown when a compare-and-swap finds another revision than expected. Nothing was written. Immutable and thread-safe.
 */
public final class StoreConflictException extends StoreException {

    private static final long serialVersionUID = 1L;

    private final long currentRevision;

    /**
     * Creates an exception.
     *
     * @param key the key that has another revision.
     * @param currentRevision the revision of the key in the store, {@link Store#ABSENT_REVISION} if it does not exist.
     */
    public StoreConflictException(final String key, final long currentRevision) {
        super("write conflict: the current revision of '" + key + "' is " + currentRevision, false);
        this.currentRevision = currentRevision;
    }

    /**
     * Returns the revision of the key in the store.
     *
     * @return the revision, {@link Store#ABSENT_REVISION} if the key does not exist.
     */
    public long currentRevision() {
        return currentRevision;
    }
}
