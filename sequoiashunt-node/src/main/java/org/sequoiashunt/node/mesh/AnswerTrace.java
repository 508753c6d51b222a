package org.sequoiashunt.node.mesh;

import java.util.Objects;

/**
 * What a target sent that is not delivered, for the log. Immutable and thread-safe.
 *
 * @param detail what is wrong with it, empty if nothing is.
 * @param status the HTTP status of its head, 0 if there is no complete head.
 * @param requestId the identity that it echoes, empty if it echoes none.
 * @param bytes the number of bytes that are discarded, of the body after a complete head, otherwise of the bytes held.
 */
record AnswerTrace(String detail, int status, String requestId, long bytes) {

    private static final int LOWEST_FINAL_STATUS = 200;

    /** Nothing was received. */
    static final AnswerTrace NONE = new AnswerTrace("", 0, "", 0);

    AnswerTrace {
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(requestId, "requestId");
    }

    /** Returns a copy with more discarded bytes. */
    AnswerTrace plusBytes(final long more) {
        return new AnswerTrace(detail, status, requestId, bytes + more);
    }

    /** Returns a copy that says what is wrong. */
    AnswerTrace withDetail(final String newDetail) {
        return new AnswerTrace(newDetail, status, requestId, bytes);
    }

    /** Returns whether the answer is a final one, not an interim one. */
    boolean isFinal() {
        return status >= LOWEST_FINAL_STATUS;
    }
}
