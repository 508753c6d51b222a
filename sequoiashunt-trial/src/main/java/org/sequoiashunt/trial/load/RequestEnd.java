package org.sequoiashunt.trial.load;

/**
 * How a trial request ended, as its caller sees it. Immutable and thread-safe.
 */
enum RequestEnd {
    /** Still under way. */
    NONE(false),
    /** Refused, and not run. */
    NOT_RUN(false),
    /** The caller does not know whether it was run. */
    UNKNOWN(false),
    /** Answered with success. */
    ANSWERED(true),
    /** Answered by a target with a failure. */
    FAILED_BY_TARGET(true),
    /** Got the answer to another request. */
    WRONG_ANSWER(true);

    private final boolean last;

    RequestEnd(final boolean last) {
        this.last = last;
    }

    /** Tells whether the caller does not send the request again. */
    boolean isFinal() {
        return last;
    }

    /** A refusal does not undo an earlier send that may have been run. */
    RequestEnd worseOf(final RequestEnd earlier) {
        return this == NOT_RUN && earlier == UNKNOWN ? UNKNOWN : this;
    }
}
