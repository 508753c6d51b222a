package org.sequoiashunt.http;

import java.io.IOException;

/** Reports that bytes are not the head of one HTTP response. */
public final class MalformedHeadException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the head, without bytes of it.
     */
    public MalformedHeadException(final String message) {
        super(message);
    }
}
