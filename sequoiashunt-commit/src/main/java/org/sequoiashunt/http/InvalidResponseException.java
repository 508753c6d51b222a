package org.sequoiashunt.http;

import java.io.IOException;

/** Reports that the bytes a server sent are not exactly one response to the request. */
public final class InvalidResponseException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the response, without bytes of it.
     */
    public InvalidResponseException(final String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param cause the reason, not null; its message becomes the message of this exception.
     */
    public InvalidResponseException(final MalformedHeadException cause) {
        super(cause.getMessage(), cause);
    }
}
