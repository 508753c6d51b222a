package org.sequoiashunt.http;

import java.io.IOException;

/** Reports that a response exceeds its size limit, or the memory that all responses may take. */
public final class ResponseTooLargeException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the limit that is exceeded.
     */
    public ResponseTooLargeException(final String message) {
        super(message);
    }
}
