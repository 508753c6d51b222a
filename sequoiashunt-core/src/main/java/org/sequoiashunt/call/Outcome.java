package org.sequoiashunt.call;

/**
 * What is known about the run of a call.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol.
 */
public enum Outcome {
    /** The target ran the call and its whole answer is at hand. */
    COMPLETE("complete"),
    /** The target has not run the call and never will. */
    NOT_RUN("not-run"),
    /** The target may have run the call, or may still run it. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(final String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value that callers read in the outcome header.
     *
     * @return the value, never null.
     */
    public String headerValue() {
        return headerValue;
    }

    /**
     * Tells whether a second attempt can do no harm.
     *
     * @param idempotent whether running the call twice does no harm.
     * @return true if the call may be sent to a target again.
     */
    public boolean permitsRetry(final boolean idempotent) {
        return this == NOT_RUN || this == UNKNOWN && idempotent;
    }
}
