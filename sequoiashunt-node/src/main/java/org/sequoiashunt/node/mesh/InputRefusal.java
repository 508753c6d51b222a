package org.sequoiashunt.node.mesh;

import io.undertow.util.StatusCodes;

/** Reasons for which input is refused before a request has run, with the status of the answer. Immutable. */
enum InputRefusal {
    HEAD_TOO_LARGE("head too large", StatusCodes.REQUEST_HEADER_FIELDS_TOO_LARGE),
    BODY_TOO_LARGE("body too large", StatusCodes.REQUEST_ENTITY_TOO_LARGE),
    BODY_TOO_SLOW("body too slow", StatusCodes.REQUEST_TIME_OUT),
    MEMORY_FULL("input memory full", StatusCodes.SERVICE_UNAVAILABLE),
    TOO_MANY_CONNECTIONS("too many connections", StatusCodes.SERVICE_UNAVAILABLE),
    /** The request has been answered already, so that nothing more is sent. */
    UNREAD_BODY("unread body", StatusCodes.REQUEST_ENTITY_TOO_LARGE);

    /** Time after which refused input may be sent again. */
    static final int RETRY_AFTER_S = 1;

    private final String text;
    private final int status;

    InputRefusal(final String text, final int status) {
        this.text = text;
        this.status = status;
    }

    String text() {
        return text;
    }

    int status() {
        return status;
    }

    boolean mayBeRetried() {
        return status == StatusCodes.SERVICE_UNAVAILABLE;
    }

    /** Formats a complete answer that closes the connection. */
    String answer() {
        return "HTTP/1.1 " + status + " " + StatusCodes.getReason(status) + "\r\n"
                + (mayBeRetried() ? "Retry-After: " + RETRY_AFTER_S + "\r\n" : "")
                + "Connection: close\r\nContent-Length: 0\r\n\r\n";
    }
}
