package org.sequoiashunt.commit;

import org.sequoiashunt.store.StoreException;

/**
 * Reports a value in the store that cannot be parsed. The value is left unchanged. Immutable and
 * thread-safe.
 */
public final class UnreadableValueException extends StoreException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param key the key of the value.
     * @param cause the parse error, not null.
     */
    public UnreadableValueException(final String key, final Throwable cause) {
        super("the value of '" + key + "' cannot be read: " + cause.getMessage(), false, cause);
    }
}
