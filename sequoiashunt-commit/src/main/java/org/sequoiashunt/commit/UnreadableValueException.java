package org.sequoiashunt.commit;

import org.sequoiashunt.store.StoreException;

/**
 * Reports that the store answered with a value that cannot be read. The value is left as it is. Immutable and
 * thread-safe.
 */
public final class UnreadableValueException extends StoreException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param key the key of the value.
     * @param cause why it cannot be read, not null.
     */
    public UnreadableValueException(final String key, final Throwable cause) {
        super("the value of '" + key + "' cannot be read: " + cause.getMessage(), false, cause);
    }
}
